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
import org.mustardlane.router.answer.AnswerHead;
import org.mustardlane.router.answer.AnswerRelay;
import org.mustardlane.router.worker.ActionTable;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

/**
 * Tests of the links between routers.
 */
public class PeerLinksTests {

	private static final VmId OTHER = new VmId("other");

	private static final RequestId JOINED = new RequestId("r-1");

	private final List<NodeEvent> atOther = new CopyOnWriteArrayList<>();

	private final List<NodeEvent> atSelf = new CopyOnWriteArrayList<>();

	private final Map<VmId, PeerAddress> addresses = new ConcurrentHashMap<>();

	private final ActionTable actions = new ActionTable();

	private EventLoopGroup loops;

	private PeerLinks links;

	@BeforeMethod
	@SuppressWarnings("deprecation")
	public void start() throws IOException {
		this.atOther.clear();
		this.atSelf.clear();
		this.addresses.clear();
		this.loops = new NioEventLoopGroup(2);
		this.links = new PeerLinks(new RecordingStamp("self"), this.atSelf::add, (vm) -> Optional.empty(),
				Optional.empty(), this.loops);
		restartLinks(Optional.empty());
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.links.close();
		this.loops.shutdownGracefully();
	}

	private void restartLinks(Optional<TlsIdentity> identity) throws IOException {
		this.links.close();
		this.links = new PeerLinks(new RecordingStamp("self"), this.atSelf::add,
				(vm) -> Optional.ofNullable(this.addresses.get(vm)), identity, this.loops);
		this.links.register(this.actions);
	}

	private static TlsIdentity tls(String name) throws URISyntaxException {
		Path directory = Path.of(PeerLinksTests.class.getResource("/tls").toURI());
		return new TlsIdentity(directory.resolve(name + ".crt"), directory.resolve(name + ".key"),
				directory.resolve("ca.crt"));
	}

	private static void nothing() {
	}

	private GrpcServer serve(int port) throws IOException {
		return serve(port, Optional.empty(), (requestId, reader) -> false);
	}

	private GrpcServer serve(int port, Optional<TlsIdentity> identity, LocalJoins joins) throws IOException {
		GrpcServer server = GrpcServer.start(new InetSocketAddress("127.0.0.1", port), identity, this.loops,
				new PeerService(new RecordingStamp("other"), this.atOther::add, joins));
		this.addresses.put(OTHER, new PeerAddress("127.0.0.1", server.port()));
		return server;
	}

	private void send(int fromOffset) {
		NodeAction send = new SendPeer(OTHER, new CatalogueRelayRequest(fromOffset));
		this.actions.execute(send);
	}

	private static PeerMessageReceived received(int fromOffset) {
		return new PeerMessageReceived(new VmId("self"), new CatalogueRelayRequest(fromOffset));
	}

	@Test
	public void messagesArriveOnceAndInOrder() throws IOException {
		try (GrpcServer server = serve(0)) {
			List<NodeEvent> expected = new ArrayList<>();
			IntStream.range(0, 500).forEach((offset) -> {
				send(offset);
				expected.add(received(offset));
			});
			await().until(() -> this.atOther.size() >= expected.size());
			assertEquals(this.atOther, expected);
			assertEquals(this.atSelf, List.of());
		}
	}

	@Test
	public void messageToUnknownRouterComesBack() {
		send(1);
		assertEquals(this.atSelf, List.of(new PeerUnreachable(OTHER, new CatalogueRelayRequest(1))));
	}

	@Test
	public void messageToClosedPortComesBack() throws IOException {
		serve(0).close();
		send(1);
		await().until(() -> !this.atSelf.isEmpty());
		assertEquals(this.atSelf, List.of(new PeerUnreachable(OTHER, new CatalogueRelayRequest(1))));
	}

	@Test
	public void badFramesAndBadBytesLeaveTheOtherMessagesAlone() throws Exception {
		try (GrpcServer server = serve(0); Socket garbage = new Socket("127.0.0.1", server.port())) {
			garbage.getOutputStream().write("no HTTP/2 at all\r\n\r\n".getBytes());
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
			await().until(() -> this.atOther.contains(received(1)));
			assertEquals(this.atOther.size(), 1);
			channel.shutdownNow();
			send(2);
			await().until(() -> this.atOther.contains(received(2)));
		}
	}

	@Test
	public void answerOfAnotherRouterIsFetchedWhole() throws IOException {
		AnswerRelay relay = new AnswerRelay(new FakeReader(), 1000);
		try (GrpcServer server = serve(0, Optional.empty(), (requestId, reader) -> {
			relay.join(reader);
			return requestId.equals(JOINED);
		})) {
			FakeReader reader = new FakeReader();
			this.links.join(OTHER, JOINED, reader);
			relay.begin(new AnswerHead(201, "text/plain", OptionalLong.empty()));
			relay.write("one ".getBytes(), PeerLinksTests::nothing);
			relay.write("two".getBytes(), PeerLinksTests::nothing);
			relay.finish();
			await().until(() -> reader.log().endsWith("finish"));
			assertEquals(reader.log(), "begin 201 text/plain one two finish");
		}
	}

	@Test
	public void answerThatBreaksElsewhereIsBrokenHere() throws IOException {
		AnswerRelay relay = new AnswerRelay(new FakeReader(), 1000);
		relay.begin(new AnswerHead(200, "text/plain", OptionalLong.empty()));
		relay.write("one ".getBytes(), PeerLinksTests::nothing);
		try (GrpcServer server = serve(0, Optional.empty(), (requestId, reader) -> {
			relay.join(reader);
			return true;
		})) {
			FakeReader reader = new FakeReader();
			this.links.join(OTHER, JOINED, reader);
			await().until(() -> reader.log().endsWith("one "));
			relay.close();
			await().until(() -> reader.log().endsWith("abort"));
		}
	}

	@Test
	public void unknownAnswerAndUnknownRouterBreakTheJoin() throws IOException {
		FakeReader nowhere = new FakeReader();
		this.links.join(OTHER, JOINED, nowhere);
		assertEquals(nowhere.log(), "abort");
		try (GrpcServer server = serve(0)) {
			FakeReader unknown = new FakeReader();
			this.links.join(OTHER, JOINED, unknown);
			await().until(() -> unknown.log().equals("abort"));
		}
	}

	@Test
	public void trustedRouterIsServedOverTls() throws Exception {
		try (GrpcServer server = serve(0, Optional.of(tls("router")), (requestId, reader) -> false)) {
			restartLinks(Optional.of(tls("router")));
			send(1);
			await().until(() -> this.atOther.contains(received(1)));
		}
	}

	@Test
	public void strangerAndPlainTextAreNotServedOverTls() throws Exception {
		try (GrpcServer server = serve(0, Optional.of(tls("router")), (requestId, reader) -> false)) {
			restartLinks(Optional.of(tls("stranger")));
			send(1);
			await().until(() -> this.atSelf.size() == 1);
			restartLinks(Optional.empty());
			send(2);
			await().until(() -> this.atSelf.size() == 2);
			assertEquals(this.atOther, List.of());
		}
	}

	@Test
	public void linkIsDialledAgainAfterRestartOfPeer() throws IOException {
		try (GrpcServer server = serve(0)) {
			send(1);
			await().until(() -> this.atOther.contains(received(1)));
		}
		try (GrpcServer server = serve(0)) {
			await().until(() -> {
				send(2);
				return this.atOther.contains(received(2));
			});
		}
	}

	/**
	 * Takes frames and does nothing with them.
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
