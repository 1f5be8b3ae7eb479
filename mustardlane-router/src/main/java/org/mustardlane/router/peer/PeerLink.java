package org.mustardlane.router.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;

import io.grpc.stub.CallStreamObserver;

import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.protocol.PeerFrame;

/**
 * The outgoing half of one stream to another router, with a bounded queue in front of the
 * transport.
 *
 * <p>
 * Messages that are still queued when the stream ends are passed to the handler of
 * undelivered messages. Thread-safe.
 */
final class PeerLink {

	private static final int MAX_QUEUED_MESSAGES = 4096;

	private final FrameStamper stamper;

	private final Consumer<PeerMessage> undeliveredHandler;

	private final Queue<PeerMessage> queue = new ArrayDeque<>();

	private Optional<CallStreamObserver<PeerFrame>> stream = Optional.empty();

	private boolean closed;

	PeerLink(FrameStamper stamper, Consumer<PeerMessage> undeliveredHandler) {
		this.stamper = stamper;
		this.undeliveredHandler = undeliveredHandler;
	}

	/**
	 * Sends queued messages; called each time the transport can take messages.
	 * @param readyStream the stream to send on
	 */
	void transportReady(CallStreamObserver<PeerFrame> readyStream) {
		synchronized (this) {
			this.stream = Optional.of(readyStream);
		}
		sendQueuedFrames();
	}

	/**
	 * Queues a message. If the queue is full or the stream has ended, passes it to the
	 * handler of undelivered messages instead.
	 * @param message the message
	 */
	void send(PeerMessage message) {
		boolean queued;
		synchronized (this) {
			queued = !this.closed && this.queue.size() < MAX_QUEUED_MESSAGES;
			if (queued) {
				this.queue.add(message);
			}
		}
		if (queued) {
			sendQueuedFrames();
		}
		else {
			this.undeliveredHandler.accept(message);
		}
	}

	/**
	 * Sends queued messages while the transport can take them.
	 */
	synchronized void sendQueuedFrames() {
		if (this.closed || this.stream.isEmpty()) {
			return;
		}
		CallStreamObserver<PeerFrame> openStream = this.stream.get();
		while (!this.queue.isEmpty() && openStream.isReady()) {
			PeerFrame.Builder frame = PeerMessageEncoder.encode(this.queue.remove());
			openStream.onNext(frame.setSenderVm(this.stamper.self().value())
				.setHybridTime(this.stamper.nextHybridTime())
				.build());
		}
	}

	synchronized boolean isClosed() {
		return this.closed;
	}

	/**
	 * Marks the stream as ended and passes queued messages to the handler of undelivered
	 * messages.
	 */
	void close() {
		List<PeerMessage> unsent;
		synchronized (this) {
			this.closed = true;
			unsent = new ArrayList<>(this.queue);
			this.queue.clear();
		}
		unsent.forEach(this.undeliveredHandler);
	}

}
