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
import org.mustardlane.router.answer.AnswerHead;

/**
 * One attempt at a target.
 *
 * <p>
 * After the head nothing is read until {@link #forward()}; from then on one part is given
 * out at a time. Thread-safe.
 */
public final class TargetAttempt implements AsyncHandler<Void> {

	private static final String GENERATION_ID = "X-Generation-Id";

	private static final String CANCELLED = "cancelled";

	private static final int QUEUED_BYTES_LIMIT = 32_768;

	private final AttemptRequest request;

	private final AttemptObserver observer;

	private final LongSupplier nowMillis;

	private final AnswerCheck check;

	private final TargetConnection connection = new TargetConnection();

	private final Queue<byte[]> parts = new ArrayDeque<>();

	private int queuedBytes;

	private int status;

	private OptionalLong announcedBytes = OptionalLong.empty();

	private HttpHeaders trailers = EmptyHttpHeaders.INSTANCE;

	private long receivedBytes;

	private boolean cancelled;

	private boolean sending;

	private boolean forwarded;

	private boolean readerBusy;

	private boolean headReceived;

	private long waitingSinceMillis;

	private boolean received;

	private boolean ended;

	private int deliveries;

	private Optional<Runnable> endAfterDelivery = Optional.empty();

	/**
	 * Creates an attempt.
	 * @param request what is sent
	 * @param observer is told what becomes of it
	 * @param nowMillis the time
	 */
	TargetAttempt(AttemptRequest request, AttemptObserver observer, LongSupplier nowMillis) {
		this.request = request;
		this.observer = observer;
		this.nowMillis = nowMillis;
		this.check = new AnswerCheck(request.start(), request.attemptName());
	}

	/**
	 * Gives the response out from now on.
	 */
	public void forward() {
		synchronized (this) {
			this.forwarded = true;
			this.waitingSinceMillis = this.nowMillis.getAsLong();
		}
		this.connection.resume();
		giveOut();
	}

	/**
	 * Gives the attempt up. Nothing is sent any more if nothing was; a response that has
	 * not ended is dropped with its connection.
	 */
	public void cancel() {
		boolean dropped;
		synchronized (this) {
			this.cancelled = true;
			this.parts.clear();
			dropped = this.received;
		}
		if (dropped) {
			end(AttemptResult.BROKEN, CANCELLED);
		}
		this.connection.close();
	}

	/**
	 * Ends the attempt if its target has been silent for too long while a response was
	 * waited for.
	 */
	void endIfSilent() {
		boolean silent;
		synchronized (this) {
			silent = isSilent(this.nowMillis.getAsLong());
		}
		if (silent) {
			end(AttemptResult.SILENT, "the target is silent");
			this.connection.close();
		}
	}

	private boolean isSilent(long now) {
		if (!this.sending || this.received || this.cancelled || this.ended) {
			return false;
		}
		if (!this.headReceived) {
			return now > this.request.start().responseHeadDeadlineMillis();
		}
		boolean waiting = this.forwarded && !this.readerBusy && this.parts.isEmpty();
		return waiting && now - this.waitingSinceMillis > this.request.start().idleTimeoutMillis();
	}

	/**
	 * Tells whether the attempt has ended.
	 * @return true once its end was told
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
	 * Runs last before the first byte is written; an exception keeps it from being
	 * written.
	 */
	@Override
	public synchronized void onRequestSend(NettyRequest nettyRequest) {
		if (this.cancelled) {
			throw new NotSentException("cancelled before it was sent");
		}
		if (this.nowMillis.getAsLong() > this.request.start().dispatchDeadlineMillis()) {
			throw new NotSentException("the dispatch deadline has passed");
		}
		this.sending = true;
	}

	@Override
	public State onStatusReceived(HttpResponseStatus responseStatus) {
		this.status = responseStatus.getStatusCode();
		return State.CONTINUE;
	}

	@Override
	public State onHeadersReceived(HttpHeaders headers) {
		if (!this.check.echoes(headers)) {
			end(AttemptResult.BROKEN, "the answer belongs to " + headers.get(AnswerCheck.REQUEST_ID));
			return State.ABORT;
		}
		Optional<AttemptResult> endOfHead = this.check.endOf(this.status, headers);
		if (endOfHead.isPresent()) {
			end(endOfHead.get(), "status " + this.status);
			return State.CONTINUE;
		}
		synchronized (this) {
			this.headReceived = true;
			this.waitingSinceMillis = this.nowMillis.getAsLong();
			if (!this.forwarded) {
				this.connection.pause();
			}
		}
		this.announcedBytes = AnswerCheck.contentLength(headers);
		this.observer.headReceived(
				new AnswerHead(this.status, headers.get(HttpHeaderNames.CONTENT_TYPE, ""), this.announcedBytes),
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
			this.parts.add(bytes);
			this.waitingSinceMillis = this.nowMillis.getAsLong();
			this.queuedBytes += bytes.length;
			if (this.queuedBytes > QUEUED_BYTES_LIMIT) {
				this.connection.pause();
			}
		}
		giveOut();
		return State.CONTINUE;
	}

	@Override
	public State onTrailingHeadersReceived(HttpHeaders headers) {
		this.trailers = headers;
		return State.CONTINUE;
	}

	/**
	 * Runs before the connection goes back to the pool.
	 */
	@Override
	public void onConnectionOffer(Channel channel) {
		this.connection.release();
	}

	@Override
	public Void onCompleted() {
		this.connection.release();
		boolean dropped;
		synchronized (this) {
			this.received = true;
			dropped = this.cancelled;
		}
		if (dropped) {
			end(AttemptResult.BROKEN, CANCELLED);
		}
		giveOut();
		return null;
	}

	@Override
	public void onThrowable(Throwable cause) {
		boolean sent;
		synchronized (this) {
			sent = this.sending;
			this.parts.clear();
		}
		end(sent ? AttemptResult.BROKEN : endBeforeSending(cause), String.valueOf(cause.getMessage()));
	}

	private static AttemptResult endBeforeSending(Throwable cause) {
		boolean ownDecision = cause instanceof NotSentException || cause.getCause() instanceof NotSentException;
		return ownDecision ? AttemptResult.NOT_SENT : AttemptResult.UNREACHABLE;
	}

	private void readerReady() {
		synchronized (this) {
			this.readerBusy = false;
			this.waitingSinceMillis = this.nowMillis.getAsLong();
		}
		giveOut();
	}

	private void giveOut() {
		byte[] part;
		long totalBytes;
		synchronized (this) {
			if (!this.forwarded || this.readerBusy || this.ended) {
				return;
			}
			part = this.parts.poll();
			if (part != null) {
				this.readerBusy = true;
				this.deliveries++;
				this.queuedBytes -= part.length;
				this.receivedBytes += part.length;
			}
			totalBytes = this.receivedBytes;
		}
		if (part != null) {
			this.observer.partReceived(part, totalBytes, this::readerReady);
			delivered();
			return;
		}
		endOrReadOn();
	}

	private void delivered() {
		Optional<Runnable> due = Optional.empty();
		synchronized (this) {
			this.deliveries--;
			if (this.deliveries == 0) {
				due = this.endAfterDelivery;
				this.endAfterDelivery = Optional.empty();
			}
		}
		due.ifPresent(Runnable::run);
	}

	private void endOrReadOn() {
		boolean all;
		synchronized (this) {
			all = this.received;
		}
		if (!all) {
			this.connection.resume();
			return;
		}
		Optional<String> missing = this.check.missing(this.status, this.announcedBytes, this.trailers,
				this.receivedBytes);
		end(missing.isEmpty() ? AttemptResult.WHOLE : AttemptResult.BROKEN, missing.orElse("status " + this.status));
	}

	private void end(AttemptResult how, String detail) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			if (this.deliveries > 0) {
				// A part on its way to the reader counts before the end does.
				this.endAfterDelivery = Optional.of(() -> this.observer.ended(how, detail));
				return;
			}
		}
		this.observer.ended(how, detail);
	}

}
