package org.mustardlane.router.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;

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
import org.mustardlane.core.message.CatalogueRelayAsk;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.router.worker.ActionTable;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

/**
 * Tests of the links between routers.
 */
public class PeerLinksTests {

	private static final VmId OTHER = new VmId("other");

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
		this.links = new PeerLinks(new RecordingStamp("self"), this.atSelf::add,
				(vm) -> Optional.ofNullable(this.addresses.get(vm)), Optional.empty(), this.loops);
		this.links.register(this.actions);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.links.close();
		this.loops.shutdownGracefully();
	}

	private GrpcServer serve(int port) throws IOException {
		GrpcServer server = GrpcServer.start(new InetSocketAddress("127.0.0.1", port), Optional.empty(), this.loops,
				new PeerService(new RecordingStamp("other"), this.atOther::add, (requestId, reader) -> false));
		this.addresses.put(OTHER, new PeerAddress("127.0.0.1", server.port()));
		return server;
	}

	private void send(int fromOffset) {
		NodeAction send = new SendPeer(OTHER, new CatalogueRelayAsk(fromOffset));
		this.actions.execute(send);
	}

	private static PeerMessageReceived received(int fromOffset) {
		return new PeerMessageReceived(new VmId("self"), new CatalogueRelayAsk(fromOffset));
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
		assertEquals(this.atSelf, List.of(new PeerUnreachable(OTHER, new CatalogueRelayAsk(1))));
	}

	@Test
	public void messageToClosedPortComesBack() throws IOException {
		serve(0).close();
		send(1);
		await().until(() -> !this.atSelf.isEmpty());
		assertEquals(this.atSelf, List.of(new PeerUnreachable(OTHER, new CatalogueRelayAsk(1))));
	}

	@Test
	public void linkIsDialledAgainAfterRestartOfPeer() throws IOException {
		int port;
		try (GrpcServer server = serve(0)) {
			port = server.port();
			send(1);
			await().until(() -> this.atOther.contains(received(1)));
		}
		try (GrpcServer server = serve(port)) {
			await().until(() -> {
				send(2);
				return this.atOther.contains(received(2));
			});
		}
	}

}
