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
 * Tests of the tool against a router that asks for client certificates.
 */
public class TlsTests {

	private X509Bundle authority;

	private X509Bundle operator;

	private FakeRouter router;

	@BeforeClass
	public void start() throws Exception {
		this.authority = authority("authority");
		this.operator = issue("operator", this.authority);
		X509Bundle server = issue("router", this.authority);
		this.router = new FakeRouter("vm-1",
				TlsServerCredentials.newBuilder()
					.keyManager(file(server.toTempCertChainPem()), file(server.toTempPrivateKeyPem()))
					.trustManager(file(this.authority.toTempRootCertPem()))
					.clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
					.build());
	}

	@AfterClass
	public void stop() {
		this.router.close();
	}

	private static X509Bundle authority(String name) throws Exception {
		return new CertificateBuilder().subject("CN=" + name).setIsCertificateAuthority(true).buildSelfSigned();
	}

	private static X509Bundle issue(String name, X509Bundle issuer) throws Exception {
		return new CertificateBuilder().subject("CN=" + name).addSanIpAddress("127.0.0.1").buildIssuedBy(issuer);
	}

	private static File file(File temporary) {
		temporary.deleteOnExit();
		return temporary;
	}

	private ExitCode status(X509Bundle identity, X509Bundle trust) throws Exception {
		return run("--tls-certificate", file(identity.toTempCertChainPem()).getPath(), "--tls-key",
				file(identity.toTempPrivateKeyPem()).getPath(), "--tls-trust",
				file(trust.toTempRootCertPem()).getPath());
	}

	private ExitCode run(String... flags) {
		PrintStream nowhere = new PrintStream(new ByteArrayOutputStream());
		Map<String, String> variables = Map.of("MUSTARDLANE_ROUTER", this.router.address());
		List<String> line = new ArrayList<>(List.of("status"));
		line.addAll(List.of(flags));
		return new CommandLineTool(nowhere, nowhere, variables).run(line);
	}

	@Test
	public void connectsWithCertificatesOnBothSides() throws Exception {
		assertEquals(status(this.operator, this.authority), ExitCode.OK);
	}

	@Test
	public void refusesARouterOfAnotherAuthority() throws Exception {
		assertEquals(status(this.operator, authority("stranger")), ExitCode.UNAVAILABLE);
	}

	@Test
	public void isRefusedWithACertificateOfAnotherAuthority() throws Exception {
		assertEquals(status(issue("operator", authority("stranger")), this.authority), ExitCode.UNAVAILABLE);
	}

	@Test
	public void isRefusedWithoutCertificate() {
		assertEquals(run(), ExitCode.UNAVAILABLE);
	}

}
