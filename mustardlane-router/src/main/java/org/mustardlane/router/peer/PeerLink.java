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
 * The outgoing half of one stream to another router: a bounded queue before the
 * transport.
 *
 * <p>
 * What is still queued when the stream ends is given back. Thread-safe.
 */
final class PeerLink {

	private static final int MOST_QUEUED = 4096;

	private final FrameStamp stamp;

	private final Consumer<PeerMessage> undelivered;

	private final Queue<PeerMessage> queue = new ArrayDeque<>();

	private Optional<CallStreamObserver<PeerFrame>> stream = Optional.empty();

	private boolean closed;

	PeerLink(FrameStamp stamp, Consumer<PeerMessage> undelivered) {
		this.stamp = stamp;
		this.undelivered = undelivered;
	}

	/**
	 * Takes the stream once it is there.
	 * @param opened the stream
	 */
	void open(CallStreamObserver<PeerFrame> opened) {
		synchronized (this) {
			this.stream = Optional.of(opened);
		}
		drain();
	}

	/**
	 * Queues a message; gives it back where the queue is full or the stream has ended.
	 * @param message the message
	 */
	void send(PeerMessage message) {
		boolean queued;
		synchronized (this) {
			queued = !this.closed && this.queue.size() < MOST_QUEUED;
			if (queued) {
				this.queue.add(message);
			}
		}
		if (queued) {
			drain();
		}
		else {
			this.undelivered.accept(message);
		}
	}

	/**
	 * Hands queued messages to the transport as far as it takes them.
	 */
	synchronized void drain() {
		if (this.closed || this.stream.isEmpty()) {
			return;
		}
		CallStreamObserver<PeerFrame> opened = this.stream.get();
		while (!this.queue.isEmpty() && opened.isReady()) {
			PeerFrame.Builder frame = PeerMessageEncoder.encode(this.queue.remove());
			opened.onNext(frame.setSenderVm(this.stamp.self().value()).setHybridTime(this.stamp.next()).build());
		}
	}

	synchronized boolean isClosed() {
		return this.closed;
	}

	/**
	 * Gives back what is queued; the stream has ended.
	 */
	void close() {
		List<PeerMessage> left;
		synchronized (this) {
			this.closed = true;
			left = new ArrayList<>(this.queue);
			this.queue.clear();
		}
		left.forEach(this.undelivered);
	}

}
