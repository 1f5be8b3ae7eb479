package org.mustardlane.router;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;

import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.mustardlane.protocol.DrainRequest;
import org.mustardlane.protocol.OperatorServiceGrpc;
import org.mustardlane.protocol.PublishAnswer;
import org.mustardlane.protocol.PublishRequest;
import org.mustardlane.protocol.StatusAnswer;
import org.mustardlane.protocol.StatusRequest;
import org.mustardlane.router.platform.FakePlatform;
import org.mustardlane.router.settings.SettingsReader;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Tests of a complete router whose platform is unavailable.
 */
public class RouterTests {

	private static final HttpClient HTTP_CLIENT = HttpClient.newHttpClient();

	private FakePlatform platform;

	private Router router;

	private RouterPorts ports;

	private ManagedChannel channel;

	private OperatorServiceGrpc.OperatorServiceBlockingStub operatorStub;

	@BeforeMethod
	public void start() throws Exception {
		this.platform = new FakePlatform((number, request) -> new FakePlatform.PreparedResponse(503, "{}"));
		String[] flags = { "--vm", "vm-1", "--domain", "north", "--platform-url", this.platform.url(), "--drain-millis",
				"30000" };
		this.router = new Router(new SettingsReader(flags, Map.of()).read());
		this.ports = this.router.start();
		this.channel = NettyChannelBuilder
			.forAddress("127.0.0.1", this.ports.operatorPort(), InsecureChannelCredentials.create())
			.build();
		this.operatorStub = OperatorServiceGrpc.newBlockingStub(this.channel);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.channel.shutdownNow();
		this.router.close();
		this.platform.close();
	}

	private HttpResponse<String> getFromMetricsPort(String path) throws Exception {
		URI uri = URI.create("http://127.0.0.1:" + this.ports.metricsPort() + path);
		return HTTP_CLIENT.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
	}

	@Test
	public void routerWithoutCatalogueIsAliveButNotReady() throws Exception {
		assertEquals(getFromMetricsPort("/healthz").statusCode(), 200);
		assertEquals(getFromMetricsPort("/readyz").statusCode(), 503);
		assertEquals(getFromMetricsPort("/elsewhere").statusCode(), 404);
		assertTrue(getFromMetricsPort("/metrics").body().contains("mustardlane_catalogue_revision 0.0"));
	}

	@Test
	public void callerIsToldToRetryLater() throws Exception {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + this.ports.callerPort() + "/v1/chat"))
			.header("X-Organisation", "o")
			.header("X-Organisation-Key", "k")
			.POST(HttpRequest.BodyPublishers.ofString("hello"))
			.build();
		HttpResponse<String> response = HTTP_CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
		assertEquals(response.statusCode(), 503);
		assertEquals(response.headers().firstValue("X-Outcome").orElseThrow(), "not-run");
		assertTrue(response.headers().firstValue("Retry-After").isPresent());
	}

	@Test
	public void statusReportsUnreachablePlatform() {
		StatusAnswer status = this.operatorStub.status(StatusRequest.getDefaultInstance());
		assertEquals(status.getVm(), "vm-1");
		assertEquals(status.getDomain(), "north");
		assertEquals(status.getCatalogueRevision(), 0);
		assertTrue(!status.getPlatformReachable() && !status.getDraining());
	}

	@Test
	public void changeIsNotAcceptedWithoutPlatform() {
		PublishAnswer reply = this.operatorStub.publishCatalogue(PublishRequest.newBuilder()
			.setChangeId("c-1")
			.setChangeYaml("organisations: [}")
			.setDeadlineMillis(1)
			.build());
		assertTrue(reply.getVerdict() != PublishAnswer.Verdict.ACCEPTED);
		StatusRuntimeException ex = expectThrows(StatusRuntimeException.class,
				() -> this.operatorStub.publishCatalogue(PublishRequest.getDefaultInstance()));
		assertEquals(ex.getStatus().getCode(), Status.Code.INVALID_ARGUMENT);
	}

	@Test
	public void drainEndsReadinessAndThenRouter() throws Exception {
		assertEquals(this.operatorStub.drain(DrainRequest.getDefaultInstance()).getRequestsInFlight(), 0);
		assertEquals(getFromMetricsPort("/readyz").statusCode(), 503);
		this.router.awaitDrained();
		assertTrue(this.operatorStub.status(StatusRequest.getDefaultInstance()).getDraining());
	}

}
