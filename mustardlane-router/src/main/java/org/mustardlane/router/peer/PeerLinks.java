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
import org.mustardlane.router.answer.ResponseSink;
import org.mustardlane.router.worker.ActionTable;
import org.mustardlane.router.worker.EventSink;

/**
 * Sends messages to other routers and fetches responses from them, over connections that
 * are opened on demand.
 *
 * <p>
 * Messages are not resent: a message that could not be passed to the transport is
 * returned to the node as a {@link PeerUnreachable} event. Thread-safe.
 */
public final class PeerLinks implements AutoCloseable {

	private final FrameStamper stamper;

	private final EventSink events;

	private final Function<VmId, Optional<PeerAddress>> addresses;

	private final EventLoopGroup eventLoops;

	private final PeerDialer dialer;

	private final Map<VmId, DialledPeer> connections = new ConcurrentHashMap<>();

	/**
	 * Creates an instance that has no connections yet.
	 * @param stamper supplies and observes the hybrid time of frames
	 * @param events receives incoming messages and undelivered ones
	 * @param addresses looks up the address of a router
	 * @param identity the TLS files of this router, empty for plain text
	 * @param eventLoops event loops of the connections
	 * @throws IOException if a TLS file cannot be read
	 */
	public PeerLinks(FrameStamper stamper, EventSink events, Function<VmId, Optional<PeerAddress>> addresses,
			Optional<TlsIdentity> identity, EventLoopGroup eventLoops) throws IOException {
		this.stamper = stamper;
		this.events = events;
		this.addresses = addresses;
		this.eventLoops = eventLoops;
		this.dialer = new PeerDialer(identity, eventLoops);
	}

	/**
	 * Registers the handler of the action that sends a message to another router.
	 * @param table the table to register with
	 */
	public void register(ActionTable table) {
		table.on(SendPeer.class, (action) -> send(action.peer(), action.message()));
	}

	private void send(VmId peer, PeerMessage message) {
		Optional<DialledPeer> connection = connectionTo(peer);
		if (connection.isEmpty()) {
			this.events.submit(new PeerUnreachable(peer, message));
			return;
		}
		connection.get().link().send(message);
	}

	private Optional<DialledPeer> connectionTo(VmId peer) {
		Optional<PeerAddress> address = this.addresses.apply(peer);
		return address.map((currentAddress) -> this.connections.compute(peer,
				(vm, existing) -> (existing != null && isUsable(existing, currentAddress)) ? existing
						: redial(vm, currentAddress, existing)));
	}

	private static boolean isUsable(DialledPeer connection, PeerAddress address) {
		return !connection.link().isClosed() && connection.address().equals(address);
	}

	private DialledPeer redial(VmId peer, PeerAddress address, DialledPeer previous) {
		if (previous != null) {
			previous.close();
		}
		PeerLink link = new PeerLink(this.stamper, (message) -> this.events.submit(new PeerUnreachable(peer, message)));
		DialledPeer connection = new DialledPeer(address, this.dialer.dial(address), link);
		Runnable onEnd = () -> handleConnectionEnd(peer, connection);
		connection.open(new FrameReceiver(this.stamper, this.events, Optional.of(peer), onEnd, onEnd));
		return connection;
	}

	private void handleConnectionEnd(VmId peer, DialledPeer connection) {
		connection.link().close();
		// Deferred to an event loop because the stream can end while compute() is
		// still adding the entry.
		this.eventLoops.execute(() -> this.connections.remove(peer, connection));
		connection.channel().shutdown();
	}

	/**
	 * Joins a request that another router runs and writes the response to a sink.
	 * @param holder the router that runs the request
	 * @param requestId the request
	 * @param sink receives the response; it is always finished or aborted
	 */
	public void joinResponse(VmId holder, RequestId requestId, ResponseSink sink) {
		Optional<DialledPeer> connection = connectionTo(holder);
		if (connection.isEmpty()) {
			sink.abort(ChunkReceiver.INCOMPLETE_RESPONSE);
			return;
		}
		JoinAnswerRequest request = JoinAnswerRequest.newBuilder()
			.setRequestId(requestId.value())
			.setAskerVm(this.stamper.self().value())
			.build();
		PeerServiceGrpc.newStub(connection.get().channel()).joinAnswer(request, new ChunkReceiver(sink));
	}

	@Override
	public void close() {
		this.connections.values().forEach(DialledPeer::close);
	}

}
