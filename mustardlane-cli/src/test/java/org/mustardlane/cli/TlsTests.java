package org.mustardlane.cli;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.grpc.TlsServerCredentials;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link CommandLineTool} against a router that requires client certificates.
 */
public class TlsTests {

	private X509Bundle authority;

	private X509Bundle operator;

	private FakeRouter router;

	@BeforeClass
	public void start() throws Exception {
		this.authority = createAuthority("authority");
		this.operator = issueCertificate("operator", this.authority);
		X509Bundle server = issueCertificate("router", this.authority);
		this.router = new FakeRouter("vm-1",
				TlsServerCredentials.newBuilder()
					.keyManager(deleteOnExit(server.toTempCertChainPem()), deleteOnExit(server.toTempPrivateKeyPem()))
					.trustManager(deleteOnExit(this.authority.toTempRootCertPem()))
					.clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
					.build());
	}

	@AfterClass
	public void stop() {
		this.router.close();
	}

	private static X509Bundle createAuthority(String name) throws Exception {
		return new CertificateBuilder().subject("CN=" + name).setIsCertificateAuthority(true).buildSelfSigned();
	}

	private static X509Bundle issueCertificate(String name, X509Bundle issuer) throws Exception {
		return new CertificateBuilder().subject("CN=" + name).addSanIpAddress("127.0.0.1").buildIssuedBy(issuer);
	}

	private static File deleteOnExit(File file) {
		file.deleteOnExit();
		return file;
	}

	private ExitCode runStatus(X509Bundle identity, X509Bundle trust) throws Exception {
		return runStatusWith("--tls-certificate", deleteOnExit(identity.toTempCertChainPem()).getPath(), "--tls-key",
				deleteOnExit(identity.toTempPrivateKeyPem()).getPath(), "--tls-trust",
				deleteOnExit(trust.toTempRootCertPem()).getPath());
	}

	private ExitCode runStatusWith(String... flags) {
		PrintStream discarded = new PrintStream(new ByteArrayOutputStream());
		Map<String, String> variables = Map.of("MUSTARDLANE_ROUTER", this.router.address());
		List<String> arguments = new ArrayList<>(List.of("status"));
		arguments.addAll(List.of(flags));
		return new CommandLineTool(discarded, discarded, variables).run(arguments);
	}

	@Test
	public void connectsWithValidClientCertificate() throws Exception {
		assertEquals(runStatus(this.operator, this.authority), ExitCode.OK);
	}

	@Test
	public void rejectsARouterCertificateOfAnUntrustedAuthority() throws Exception {
		assertEquals(runStatus(this.operator, createAuthority("stranger")), ExitCode.UNAVAILABLE);
	}

	@Test
	public void isRejectedWithACertificateOfAnUntrustedAuthority() throws Exception {
		assertEquals(runStatus(issueCertificate("operator", createAuthority("stranger")), this.authority),
				ExitCode.UNAVAILABLE);
	}

	@Test
	public void isRejectedWithoutClientCertificate() {
		assertEquals(runStatusWith(), ExitCode.UNAVAILABLE);
	}

}
