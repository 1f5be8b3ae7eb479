package org.mustardlane.router.peer;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import io.netty.channel.EventLoopGroup;

import org.mustardlane.core.event.PeerUnreachable;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.protocol.JoinAnswerRequest;
import org.mustardlane.protocol.PeerServiceGrpc;
import org.mustardlane.router.answer.AnswerReader;
import org.mustardlane.router.worker.ActionTable;
import org.mustardlane.router.worker.EventSink;

/**
 * Sends messages to other routers and fetches answers from them, over connections that
 * are opened on demand.
 *
 * <p>
 * Nothing is sent twice: a message that could not be handed over goes back to the node.
 * Thread-safe.
 */
public final class PeerLinks implements AutoCloseable {

	private final FrameStamp stamp;

	private final EventSink events;

	private final Function<VmId, Optional<PeerAddress>> addresses;

	private final EventLoopGroup loops;

	private final PeerDialer dialer;

	private final Map<VmId, DialledPeer> dialled = new ConcurrentHashMap<>();

	/**
	 * Creates the links.
	 * @param stamp marks the frames
	 * @param events takes what arrives
	 * @param addresses finds the address of a router
	 * @param identity the files of this router, empty for plain text
	 * @param loops threads of the connections
	 * @throws IOException if a file can not be read
	 */
	public PeerLinks(FrameStamp stamp, EventSink events, Function<VmId, Optional<PeerAddress>> addresses,
			Optional<TlsIdentity> identity, EventLoopGroup loops) throws IOException {
		this.stamp = stamp;
		this.events = events;
		this.addresses = addresses;
		this.loops = loops;
		this.dialer = new PeerDialer(identity, loops);
	}

	/**
	 * Takes the messages to other routers over from the workers.
	 * @param table where the executor registers itself
	 */
	public void register(ActionTable table) {
		table.on(SendPeer.class, (send) -> send(send.peer(), send.message()));
	}

	private void send(VmId peer, PeerMessage message) {
		Optional<DialledPeer> connection = connection(peer);
		if (connection.isEmpty()) {
			this.events.submit(new PeerUnreachable(peer, message));
			return;
		}
		connection.get().link().send(message);
	}

	private Optional<DialledPeer> connection(VmId peer) {
		Optional<PeerAddress> address = this.addresses.apply(peer);
		return address.map((where) -> this.dialled.compute(peer,
				(vm, present) -> (present != null && isUsable(present, where)) ? present : redial(vm, where, present)));
	}

	private static boolean isUsable(DialledPeer connection, PeerAddress address) {
		return !connection.link().isClosed() && connection.address().equals(address);
	}

	private DialledPeer redial(VmId peer, PeerAddress address, DialledPeer former) {
		if (former != null) {
			former.close();
		}
		PeerLink link = new PeerLink(this.stamp, (message) -> this.events.submit(new PeerUnreachable(peer, message)));
		DialledPeer connection = new DialledPeer(address, this.dialer.dial(address), link);
		Runnable onEnd = () -> ended(peer, connection);
		connection.open(new FrameReceiver(this.stamp, this.events, Optional.of(peer), onEnd, onEnd));
		return connection;
	}

	private void ended(VmId peer, DialledPeer connection) {
		connection.link().close();
		// Not at once: the end may be told while the entry is being made.
		this.loops.execute(() -> this.dialled.remove(peer, connection));
		connection.channel().shutdown();
	}

	/**
	 * Fetches an answer from another router.
	 * @param holder the router
	 * @param requestId the request that the answer belongs to
	 * @param reader takes the answer; it is always ended
	 */
	public void join(VmId holder, RequestId requestId, AnswerReader reader) {
		Optional<DialledPeer> connection = connection(holder);
		if (connection.isEmpty()) {
			reader.abort(ChunkReceiver.BROKEN);
			return;
		}
		JoinAnswerRequest request = JoinAnswerRequest.newBuilder()
			.setRequestId(requestId.value())
			.setAskerVm(this.stamp.self().value())
			.build();
		PeerServiceGrpc.newStub(connection.get().channel()).joinAnswer(request, new ChunkReceiver(reader));
	}

	@Override
	public void close() {
		this.dialled.values().forEach(DialledPeer::close);
	}

}
