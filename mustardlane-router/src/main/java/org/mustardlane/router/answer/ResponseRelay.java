package org.mustardlane.router.answer;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.mustardlane.core.message.StoredResponse;
import org.mustardlane.core.model.execution.Refusal;

/**
 * Passes the response of one request on to its caller and to joined requests, and keeps a
 * bounded copy from the first byte on.
 *
 * <p>
 * The caller determines how fast the response is read from its source. Joined requests
 * are fed from the copy, each at its own pace; once the response exceeds the limit of the
 * copy, they are aborted. Thread-safe.
 */
public final class ResponseRelay {

	private volatile ResponseSink caller;

	private final int copyLimitBytes;

	private final List<SinkFeeder> feeders = new ArrayList<>();

	private Optional<ResponseHead> head = Optional.empty();

	private ByteArrayOutputStream copy = new ByteArrayOutputStream(0);

	private boolean copyComplete = true;

	private long deliveredBytes;

	private boolean finished;

	private Optional<Refusal> abortReason = Optional.empty();

	/**
	 * Creates a relay.
	 * @param caller receives the response
	 * @param copyLimitBytes largest copy of a response
	 */
	public ResponseRelay(ResponseSink caller, int copyLimitBytes) {
		this.caller = caller;
		this.copyLimitBytes = copyLimitBytes;
	}

	/**
	 * Passes the head on. Later heads, such as that of a resumed response, are ignored.
	 * @param responseHead the head
	 */
	public void begin(ResponseHead responseHead) {
		synchronized (this) {
			if (this.head.isPresent() || this.finished || this.abortReason.isPresent()) {
				return;
			}
			this.head = Optional.of(responseHead);
		}
		this.caller.begin(responseHead);
		feedJoinedSinks();
	}

	/**
	 * Discards a broken response of which neither the caller nor a joined request has
	 * received anything.
	 * @return false if the response was not discarded, because a part may have been
	 * received, it has no head yet or it has already ended
	 */
	public boolean restart() {
		synchronized (this) {
			boolean isDiscardable = this.head.filter(this.caller::buffersUntilComplete).isPresent()
					&& this.feeders.isEmpty();
			if (!isDiscardable || this.finished || this.abortReason.isPresent()) {
				return false;
			}
			this.head = Optional.empty();
			this.copy = new ByteArrayOutputStream(0);
			this.copyComplete = true;
			this.deliveredBytes = 0;
		}
		this.caller.restart();
		return true;
	}

	/**
	 * Passes a part of the body on.
	 * @param part the bytes
	 * @param onReady to be run once the caller can receive the next part
	 */
	public void write(byte[] part, Runnable onReady) {
		synchronized (this) {
			this.deliveredBytes += part.length;
			if (this.copyComplete && this.copy.size() + part.length <= this.copyLimitBytes) {
				this.copy.writeBytes(part);
			}
			else {
				this.copyComplete = false;
				this.copy = new ByteArrayOutputStream(0);
			}
		}
		this.caller.write(part, onReady);
		feedJoinedSinks();
	}

	/**
	 * Ends the response, which is complete.
	 */
	public void finish() {
		synchronized (this) {
			this.finished = true;
		}
		this.caller.finish();
		feedJoinedSinks();
	}

	/**
	 * Ends the response, which is complete, for joined requests only. For the caller it
	 * is ended by a later call of {@link #finish()} or {@link #abort(Refusal)}.
	 */
	public void finishJoinedSinks() {
		synchronized (this) {
			this.finished = true;
		}
		feedJoinedSinks();
	}

	/**
	 * Releases the sink of the caller, and aborts joined requests if the response has not
	 * ended.
	 */
	public void close() {
		this.caller = DiscardingSink.INSTANCE;
		synchronized (this) {
			if (!this.finished && this.abortReason.isEmpty()) {
				this.abortReason = Optional.of(SinkFeeder.JOIN_FAILED);
			}
		}
		feedJoinedSinks();
	}

	/**
	 * Ends a response that is not complete, for the caller and for joined requests.
	 * @param refusal the reason that the caller receives
	 */
	public void abort(Refusal refusal) {
		synchronized (this) {
			this.abortReason = Optional.of(refusal);
		}
		this.caller.abort(refusal);
		feedJoinedSinks();
	}

	/**
	 * Adds a sink that receives the response from its first byte on.
	 * @param sink the sink
	 */
	public void addSink(ResponseSink sink) {
		SinkFeeder feeder = new SinkFeeder(this, sink);
		synchronized (this) {
			this.feeders.add(feeder);
		}
		feeder.feed();
	}

	/**
	 * Returns the copy of the response; to be called once the response has ended.
	 * @param limitBytes largest body to return
	 * @return the response, or empty if it has no head, the copy is incomplete or the
	 * body exceeds the limit
	 */
	public synchronized Optional<StoredResponse> toStoredResponse(int limitBytes) {
		if (!this.copyComplete || this.head.isEmpty() || this.copy.size() > limitBytes) {
			return Optional.empty();
		}
		return Optional
			.of(new StoredResponse(this.head.get().status(), this.head.get().contentType(), this.copy.toByteArray()));
	}

	/**
	 * Returns the first bytes of the body.
	 * @param lengthBytes number of bytes to return
	 * @return the bytes, or empty if the copy does not contain all of them
	 */
	public synchronized Optional<byte[]> deliveredPrefix(long lengthBytes) {
		if (!this.copyComplete || this.copy.size() < lengthBytes) {
			return Optional.empty();
		}
		return Optional.of(Arrays.copyOf(this.copy.toByteArray(), (int) lengthBytes));
	}

	/**
	 * Returns the number of bytes of the body that have been passed on.
	 * @return the number of bytes
	 */
	public synchronized long deliveredBytes() {
		return this.deliveredBytes;
	}

	private void feedJoinedSinks() {
		List<SinkFeeder> currentFeeders;
		synchronized (this) {
			currentFeeders = List.copyOf(this.feeders);
		}
		currentFeeders.forEach(SinkFeeder::feed);
	}

	/**
	 * Returns the next step of a feeder.
	 * @param headPassed whether the feeder has passed the head on
	 * @param positionBytes number of bytes that the feeder has passed on
	 * @return the step
	 */
	synchronized FeedStep nextStep(boolean headPassed, int positionBytes) {
		if (this.abortReason.isPresent() || !this.copyComplete) {
			return FeedStep.abort();
		}
		if (this.head.isEmpty()) {
			return FeedStep.await();
		}
		if (!headPassed) {
			ResponseHead responseHead = this.head.get();
			return FeedStep
				.begin(new ResponseHead(responseHead.status(), responseHead.contentType(), OptionalLong.empty()));
		}
		if (positionBytes < this.copy.size()) {
			byte[] body = this.copy.toByteArray();
			return FeedStep.part(Arrays.copyOfRange(body, positionBytes, body.length));
		}
		return this.finished ? FeedStep.finish() : FeedStep.await();
	}

	/**
	 * Removes a feeder that has ended.
	 * @param feeder the feeder
	 */
	synchronized void remove(SinkFeeder feeder) {
		this.feeders.remove(feeder);
	}

}
