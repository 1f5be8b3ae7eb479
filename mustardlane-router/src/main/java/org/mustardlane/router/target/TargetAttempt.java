package org.mustardlane.router.target;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.function.LongSupplier;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;

import org.mustardlane.core.model.execution.AttemptResult;
import org.mustardlane.router.answer.ResponseHead;

/**
 * One attempt to run a request on a target.
 *
 * <p>
 * After the response head, the body is not read until {@link #forward()} is called. From
 * then on, its parts are passed to the observer one at a time. Thread-safe.
 */
public final class TargetAttempt implements AsyncHandler<Void> {

	private static final String GENERATION_ID = "X-Generation-Id";

	private static final String CANCELLED = "cancelled";

	private static final int MAX_QUEUED_BYTES = 32_768;

	private final AttemptRequest request;

	private final AttemptObserver observer;

	private final LongSupplier nowMillis;

	private final ResponseValidator validator;

	private final TargetConnection connection = new TargetConnection();

	private final Queue<byte[]> queuedParts = new ArrayDeque<>();

	private int queuedBytes;

	private int status;

	private OptionalLong contentLength = OptionalLong.empty();

	private HttpHeaders trailers = EmptyHttpHeaders.INSTANCE;

	private long deliveredBytes;

	private boolean cancelled;

	private boolean sendStarted;

	private boolean forwarding;

	private boolean observerBusy;

	private boolean headReceived;

	private long idleSinceMillis;

	private boolean fullyReceived;

	private boolean ended;

	private int deliveriesInProgress;

	private Optional<Runnable> deferredEnd = Optional.empty();

	/**
	 * Creates an attempt.
	 * @param request the request to send to the target
	 * @param observer receives the progress and the result
	 * @param nowMillis supplies the current time
	 */
	TargetAttempt(AttemptRequest request, AttemptObserver observer, LongSupplier nowMillis) {
		this.request = request;
		this.observer = observer;
		this.nowMillis = nowMillis;
		this.validator = new ResponseValidator(request.action(), request.attemptName());
	}

	/**
	 * Starts to pass the response body to the observer.
	 */
	public void forward() {
		synchronized (this) {
			this.forwarding = true;
			this.idleSinceMillis = this.nowMillis.getAsLong();
		}
		this.connection.resume();
		deliverNext();
	}

	/**
	 * Cancels the attempt. A request that has not been sent yet is not sent; a response
	 * that has not ended is dropped and its connection closed.
	 */
	public void cancel() {
		boolean alreadyReceived;
		synchronized (this) {
			this.cancelled = true;
			this.queuedParts.clear();
			alreadyReceived = this.fullyReceived;
		}
		if (alreadyReceived) {
			end(AttemptResult.BROKEN, CANCELLED);
		}
		this.connection.close();
	}

	/**
	 * Ends the attempt if its target has sent nothing for longer than the timeout while
	 * the attempt was waiting for data.
	 */
	void endIfIdle() {
		boolean isIdle;
		synchronized (this) {
			isIdle = isIdleTooLong(this.nowMillis.getAsLong());
		}
		if (isIdle) {
			end(AttemptResult.SILENT, "the target is silent");
			this.connection.close();
		}
	}

	private boolean isIdleTooLong(long currentMillis) {
		if (!this.sendStarted || this.fullyReceived || this.cancelled || this.ended) {
			return false;
		}
		if (!this.headReceived) {
			return currentMillis > this.request.action().responseHeadDeadlineMillis();
		}
		boolean isWaiting = this.forwarding && !this.observerBusy && this.queuedParts.isEmpty();
		return isWaiting && currentMillis - this.idleSinceMillis > this.request.action().idleTimeoutMillis();
	}

	/**
	 * Returns whether the attempt has ended.
	 * @return whether the result is final
	 */
	synchronized boolean isEnded() {
		return this.ended;
	}

	@Override
	public void onConnectionPooled(Channel channel) {
		this.connection.attach(channel);
	}

	@Override
	public void onTcpConnectSuccess(InetSocketAddress remoteAddress, Channel channel) {
		this.connection.attach(channel);
	}

	/**
	 * Called immediately before the first byte is written. An exception prevents the
	 * write.
	 */
	@Override
	public synchronized void onRequestSend(NettyRequest nettyRequest) {
		if (this.cancelled) {
			throw new NotSentException("cancelled before it was sent");
		}
		if (this.nowMillis.getAsLong() > this.request.action().dispatchDeadlineMillis()) {
			throw new NotSentException("the dispatch deadline has passed");
		}
		this.sendStarted = true;
	}

	@Override
	public State onStatusReceived(HttpResponseStatus responseStatus) {
		this.status = responseStatus.getStatusCode();
		return State.CONTINUE;
	}

	@Override
	public State onHeadersReceived(HttpHeaders headers) {
		if (!this.validator.echoesAttempt(headers)) {
			end(AttemptResult.BROKEN, "the answer belongs to " + headers.get(ResponseValidator.REQUEST_ID_HEADER));
			return State.ABORT;
		}
		Optional<AttemptResult> headResult = this.validator.resultOfHead(this.status, headers);
		if (headResult.isPresent()) {
			end(headResult.get(), "status " + this.status);
			return State.CONTINUE;
		}
		synchronized (this) {
			this.headReceived = true;
			this.idleSinceMillis = this.nowMillis.getAsLong();
			if (!this.forwarding) {
				this.connection.pause();
			}
		}
		this.contentLength = ResponseValidator.contentLength(headers);
		this.observer.headReceived(
				new ResponseHead(this.status, headers.get(HttpHeaderNames.CONTENT_TYPE, ""), this.contentLength),
				Optional.ofNullable(headers.get(GENERATION_ID)));
		return State.CONTINUE;
	}

	@Override
	public State onBodyPartReceived(HttpResponseBodyPart bodyPart) {
		byte[] bytes = bodyPart.getBodyPartBytes();
		synchronized (this) {
			if (bytes.length == 0 || this.ended || this.cancelled) {
				return State.CONTINUE;
			}
			this.queuedParts.add(bytes);
			this.idleSinceMillis = this.nowMillis.getAsLong();
			this.queuedBytes += bytes.length;
			if (this.queuedBytes > MAX_QUEUED_BYTES) {
				this.connection.pause();
			}
		}
		deliverNext();
		return State.CONTINUE;
	}

	@Override
	public State onTrailingHeadersReceived(HttpHeaders headers) {
		this.trailers = headers;
		return State.CONTINUE;
	}

	/**
	 * Called before the connection returns to the pool.
	 */
	@Override
	public void onConnectionOffer(Channel channel) {
		this.connection.release();
	}

	@Override
	public Void onCompleted() {
		this.connection.release();
		boolean alreadyCancelled;
		synchronized (this) {
			this.fullyReceived = true;
			alreadyCancelled = this.cancelled;
		}
		if (alreadyCancelled) {
			end(AttemptResult.BROKEN, CANCELLED);
		}
		deliverNext();
		return null;
	}

	@Override
	public void onThrowable(Throwable cause) {
		boolean sent;
		synchronized (this) {
			sent = this.sendStarted;
			this.queuedParts.clear();
		}
		end(sent ? AttemptResult.BROKEN : resultBeforeSending(cause), String.valueOf(cause.getMessage()));
	}

	private static AttemptResult resultBeforeSending(Throwable cause) {
		boolean stoppedLocally = cause instanceof NotSentException || cause.getCause() instanceof NotSentException;
		return stoppedLocally ? AttemptResult.NOT_SENT : AttemptResult.UNREACHABLE;
	}

	private void onObserverReady() {
		synchronized (this) {
			this.observerBusy = false;
			this.idleSinceMillis = this.nowMillis.getAsLong();
		}
		deliverNext();
	}

	private void deliverNext() {
		byte[] part;
		long totalBytes;
		synchronized (this) {
			if (!this.forwarding || this.observerBusy || this.ended) {
				return;
			}
			part = this.queuedParts.poll();
			if (part != null) {
				this.observerBusy = true;
				this.deliveriesInProgress++;
				this.queuedBytes -= part.length;
				this.deliveredBytes += part.length;
			}
			totalBytes = this.deliveredBytes;
		}
		if (part != null) {
			this.observer.partReceived(part, totalBytes, this::onObserverReady);
			endDelivery();
			return;
		}
		endOrResume();
	}

	private void endDelivery() {
		Optional<Runnable> pendingEnd = Optional.empty();
		synchronized (this) {
			this.deliveriesInProgress--;
			if (this.deliveriesInProgress == 0) {
				pendingEnd = this.deferredEnd;
				this.deferredEnd = Optional.empty();
			}
		}
		pendingEnd.ifPresent(Runnable::run);
	}

	private void endOrResume() {
		boolean allReceived;
		synchronized (this) {
			allReceived = this.fullyReceived;
		}
		if (!allReceived) {
			this.connection.resume();
			return;
		}
		Optional<String> missing = this.validator.findMissingPart(this.status, this.contentLength, this.trailers,
				this.deliveredBytes);
		end(missing.isEmpty() ? AttemptResult.WHOLE : AttemptResult.BROKEN, missing.orElse("status " + this.status));
	}

	private void end(AttemptResult result, String detail) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			if (this.deliveriesInProgress > 0) {
				// The part being delivered must reach the observer before the end.
				this.deferredEnd = Optional.of(() -> this.observer.attemptEnded(result, detail));
				return;
			}
		}
		this.observer.attemptEnded(result, detail);
	}

}
