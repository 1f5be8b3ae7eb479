package org.mustardlane.router.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;

import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.PeerUnreachable;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.CatalogueRelayRequest;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.protocol.PeerFrame;
import org.mustardlane.protocol.PeerServiceGrpc;
import org.mustardlane.router.answer.ResponseHead;
import org.mustardlane.router.answer.ResponseRelay;
import org.mustardlane.router.worker.ActionTable;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

/**
 * Tests of messages and joined responses between two routers.
 */
public class PeerLinksTests {

	private static final VmId OTHER_VM = new VmId("other");

	private static final RequestId JOINED_REQUEST = new RequestId("r-1");

	private final List<NodeEvent> eventsAtOther = new CopyOnWriteArrayList<>();

	private final List<NodeEvent> eventsAtSelf = new CopyOnWriteArrayList<>();

	private final Map<VmId, PeerAddress> addresses = new ConcurrentHashMap<>();

	private final ActionTable actions = new ActionTable();

	private EventLoopGroup eventLoops;

	private PeerLinks links;

	@BeforeMethod
	@SuppressWarnings("deprecation")
	public void start() throws IOException {
		this.eventsAtOther.clear();
		this.eventsAtSelf.clear();
		this.addresses.clear();
		this.eventLoops = new NioEventLoopGroup(2);
		this.links = new PeerLinks(new CountingStamper("self"), this.eventsAtSelf::add, (vm) -> Optional.empty(),
				Optional.empty(), this.eventLoops);
		restartLinks(Optional.empty());
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.links.close();
		this.eventLoops.shutdownGracefully();
	}

	private void restartLinks(Optional<TlsIdentity> identity) throws IOException {
		this.links.close();
		this.links = new PeerLinks(new CountingStamper("self"), this.eventsAtSelf::add,
				(vm) -> Optional.ofNullable(this.addresses.get(vm)), identity, this.eventLoops);
		this.links.register(this.actions);
	}

	private static TlsIdentity tlsIdentity(String name) throws URISyntaxException {
		Path directory = Path.of(PeerLinksTests.class.getResource("/tls").toURI());
		return new TlsIdentity(directory.resolve(name + ".crt"), directory.resolve(name + ".key"),
				directory.resolve("ca.crt"));
	}

	private static void doNothing() {
	}

	private GrpcServer startServer(int port) throws IOException {
		return startServer(port, Optional.empty(), (requestId, sink) -> false);
	}

	private GrpcServer startServer(int port, Optional<TlsIdentity> identity, LocalResponses responses)
			throws IOException {
		GrpcServer server = GrpcServer.start(new InetSocketAddress("127.0.0.1", port), identity, this.eventLoops,
				new PeerService(new CountingStamper("other"), this.eventsAtOther::add, responses));
		this.addresses.put(OTHER_VM, new PeerAddress("127.0.0.1", server.port()));
		return server;
	}

	private void send(int fromOffset) {
		NodeAction action = new SendPeer(OTHER_VM, new CatalogueRelayRequest(fromOffset));
		this.actions.execute(action);
	}

	private static PeerMessageReceived receivedMessage(int fromOffset) {
		return new PeerMessageReceived(new VmId("self"), new CatalogueRelayRequest(fromOffset));
	}

	@Test
	public void messagesArriveOnceAndInOrder() throws IOException {
		try (GrpcServer server = startServer(0)) {
			List<NodeEvent> expected = new ArrayList<>();
			IntStream.range(0, 500).forEach((offset) -> {
				send(offset);
				expected.add(receivedMessage(offset));
			});
			await().until(() -> this.eventsAtOther.size() >= expected.size());
			assertEquals(this.eventsAtOther, expected);
			assertEquals(this.eventsAtSelf, List.of());
		}
	}

	@Test
	public void messageToUnknownRouterIsReturned() {
		send(1);
		assertEquals(this.eventsAtSelf, List.of(new PeerUnreachable(OTHER_VM, new CatalogueRelayRequest(1))));
	}

	@Test
	public void messageToClosedPortIsReturned() throws IOException {
		startServer(0).close();
		send(1);
		await().until(() -> !this.eventsAtSelf.isEmpty());
		assertEquals(this.eventsAtSelf, List.of(new PeerUnreachable(OTHER_VM, new CatalogueRelayRequest(1))));
	}

	@Test
	public void invalidFramesAndBytesDoNotAffectOtherMessages() throws Exception {
		try (GrpcServer server = startServer(0); Socket invalidClient = new Socket("127.0.0.1", server.port())) {
			invalidClient.getOutputStream().write("no HTTP/2 at all\r\n\r\n".getBytes());
			ManagedChannel channel = NettyChannelBuilder
				.forAddress("127.0.0.1", server.port(), InsecureChannelCredentials.create())
				.build();
			StreamObserver<PeerFrame> stream = PeerServiceGrpc.newStub(channel).link(new FrameSink());
			stream.onNext(PeerFrame.getDefaultInstance());
			stream.onNext(PeerFrame.newBuilder().setSenderVm("self").build());
			stream.onNext(PeerFrame.newBuilder()
				.setGrantAsk(org.mustardlane.protocol.GrantAsk.newBuilder().setServiceClass(99))
				.build());
			stream.onNext(PeerMessageEncoder.encode(new CatalogueRelayRequest(1)).build());
			await().until(() -> this.eventsAtOther.contains(receivedMessage(1)));
			assertEquals(this.eventsAtOther.size(), 1);
			channel.shutdownNow();
			send(2);
			await().until(() -> this.eventsAtOther.contains(receivedMessage(2)));
		}
	}

	@Test
	public void responseOfOtherRouterIsReceivedCompletely() throws IOException {
		ResponseRelay relay = new ResponseRelay(new RecordingSink(), 1000);
		try (GrpcServer server = startServer(0, Optional.empty(), (requestId, sink) -> {
			relay.addSink(sink);
			return requestId.equals(JOINED_REQUEST);
		})) {
			RecordingSink sink = new RecordingSink();
			this.links.joinResponse(OTHER_VM, JOINED_REQUEST, sink);
			relay.begin(new ResponseHead(201, "text/plain", OptionalLong.empty()));
			relay.write("one ".getBytes(), PeerLinksTests::doNothing);
			relay.write("two".getBytes(), PeerLinksTests::doNothing);
			relay.finish();
			await().until(() -> sink.log().endsWith("finish"));
			assertEquals(sink.log(), "begin 201 text/plain one two finish");
		}
	}

	@Test
	public void responseAbortedAtOtherRouterIsAbortedHere() throws IOException {
		ResponseRelay relay = new ResponseRelay(new RecordingSink(), 1000);
		relay.begin(new ResponseHead(200, "text/plain", OptionalLong.empty()));
		relay.write("one ".getBytes(), PeerLinksTests::doNothing);
		try (GrpcServer server = startServer(0, Optional.empty(), (requestId, sink) -> {
			relay.addSink(sink);
			return true;
		})) {
			RecordingSink sink = new RecordingSink();
			this.links.joinResponse(OTHER_VM, JOINED_REQUEST, sink);
			await().until(() -> sink.log().endsWith("one "));
			relay.close();
			await().until(() -> sink.log().endsWith("abort"));
		}
	}

	@Test
	public void joinOfUnknownRequestOrRouterIsAborted() throws IOException {
		RecordingSink unknownRouterSink = new RecordingSink();
		this.links.joinResponse(OTHER_VM, JOINED_REQUEST, unknownRouterSink);
		assertEquals(unknownRouterSink.log(), "abort");
		try (GrpcServer server = startServer(0)) {
			RecordingSink unknownRequestSink = new RecordingSink();
			this.links.joinResponse(OTHER_VM, JOINED_REQUEST, unknownRequestSink);
			await().until(() -> unknownRequestSink.log().equals("abort"));
		}
	}

	@Test
	public void trustedRouterIsServedOverTls() throws Exception {
		try (GrpcServer server = startServer(0, Optional.of(tlsIdentity("router")), (requestId, sink) -> false)) {
			restartLinks(Optional.of(tlsIdentity("router")));
			send(1);
			await().until(() -> this.eventsAtOther.contains(receivedMessage(1)));
		}
	}

	@Test
	public void untrustedCertificateAndPlainTextAreRejected() throws Exception {
		try (GrpcServer server = startServer(0, Optional.of(tlsIdentity("router")), (requestId, sink) -> false)) {
			restartLinks(Optional.of(tlsIdentity("stranger")));
			send(1);
			await().until(() -> this.eventsAtSelf.size() == 1);
			restartLinks(Optional.empty());
			send(2);
			await().until(() -> this.eventsAtSelf.size() == 2);
			assertEquals(this.eventsAtOther, List.of());
		}
	}

	@Test
	public void peerIsDialledAgainAfterRestart() throws IOException {
		try (GrpcServer server = startServer(0)) {
			send(1);
			await().until(() -> this.eventsAtOther.contains(receivedMessage(1)));
		}
		try (GrpcServer server = startServer(0)) {
			await().until(() -> {
				send(2);
				return this.eventsAtOther.contains(receivedMessage(2));
			});
		}
	}

	/**
	 * Discards all frames.
	 */
	private static final class FrameSink implements StreamObserver<PeerFrame> {

		@Override
		public void onNext(PeerFrame frame) {
		}

		@Override
		public void onError(Throwable failure) {
		}

		@Override
		public void onCompleted() {
		}

	}

}
