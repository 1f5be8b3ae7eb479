package org.mustardlane.gateway.exchange;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.placement.LoadSample;
import org.mustardlane.core.placement.RequestedPause;
import org.mustardlane.core.placement.TargetLimit;
import org.mustardlane.core.placement.TargetLoad;
import org.mustardlane.core.retry.AttemptFailure;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.target.CallFailure;
import org.mustardlane.gateway.target.CallListener;
import org.mustardlane.gateway.target.RequestSource;
import org.mustardlane.gateway.target.TargetCall;
import org.mustardlane.gateway.wire.ResponseHead;

/**
 * A single send of a call to a single target.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class Attempt implements CallListener {

	private static final int MISDIRECTED_REQUEST = 421;

	/**
	 * Statuses that callers take for the promise that a call has not run.
	 */
	private static final Set<Integer> PROMISES_OF_NO_RUN = Set.of(408, MISDIRECTED_REQUEST, 429, 503);

	/**
	 * A target that has not started to respond within this multiple of the latency
	 * objective is considered unresponsive, if another target may execute the call.
	 */
	private static final int SILENCE_LIMIT_OBJECTIVES = 3;

	/**
	 * Callers abandon a stream after two seconds without an event.
	 */
	private static final int STREAM_SILENCE_LIMIT_MILLIS = 1400;

	private final ExchangeContext context;

	private final Exchange exchange;

	private final TargetEntry target;

	private final TargetLoad load;

	private Optional<TargetCall> call = Optional.empty();

	private Optional<Future<?>> silenceTimer = Optional.empty();

	private long sentAtMillis;

	private long lastReceivedMillis;

	private boolean responseStarted;

	private int status;

	private boolean ended;

	Attempt(ExchangeContext context, Exchange exchange, TargetEntry target) {
		this.context = context;
		this.exchange = exchange;
		this.target = target;
		this.load = context.loads().of(target.id());
	}

	/**
	 * Sends the call to the target.
	 * @param requestId id of the call
	 * @param method method of the request
	 * @param requestSource creates the head of the request when it is sent
	 * @param body body of the request
	 */
	void send(String requestId, HttpMethod method, RequestSource requestSource, byte[] body) {
		this.sentAtMillis = this.context.nowMillis();
		this.lastReceivedMillis = this.sentAtMillis;
		this.load.requestStarted(this.lastReceivedMillis);
		this.context.log()
			.write(LogEvent.CALL_SENT, "requestId", requestId, "target", this.target.id(), "version",
					this.target.softwareVersion(), "resumes", this.exchange.resumedRequestId(), "estimate",
					this.load.estimate(this.lastReceivedMillis), "sampleAgeMillis", sampleAgeText(), "limitPerSecond",
					this.load.limit().toLogText(), "elapsedMillis", this.exchange.report().elapsedMillis(),
					"loopLagging", this.context.isLoopLagging());
		TargetCall targetCall = this.context.client()
			.send(this.target, requestId, this.exchange.route().semantics(), method, requestSource, body, this);
		this.call = Optional.of(targetCall);
		if (this.ended) {
			return;
		}
		if (!this.exchange.isCallerWritable()) {
			setAutoRead(false);
		}
		scheduleSilenceCheck(silenceLimitMillis());
	}

	private String sampleAgeText() {
		LoadSample sample = this.load.sample();
		return (sample.receivedAtMillis() == LoadSample.NONE.receivedAtMillis()) ? ""
				: Long.toString(this.lastReceivedMillis - sample.receivedAtMillis());
	}

	private long silenceLimitMillis() {
		return this.responseStarted ? STREAM_SILENCE_LIMIT_MILLIS
				: SILENCE_LIMIT_OBJECTIVES * this.exchange.route().objectiveMillis();
	}

	private void scheduleSilenceCheck(long delayMillis) {
		if (this.exchange.route().semantics().isRepeatable()) {
			this.silenceTimer = Optional
				.of(this.context.loop().schedule(this::checkSilence, delayMillis, TimeUnit.MILLISECONDS));
		}
	}

	private void checkSilence() {
		if (this.ended) {
			return;
		}
		long remainingMillis = this.lastReceivedMillis + silenceLimitMillis() - this.context.nowMillis();
		if (remainingMillis > 0) {
			scheduleSilenceCheck(remainingMillis);
		}
		else if (!this.exchange.isCallerWritable()) {
			// The target is not being read, so its silence means nothing.
			scheduleSilenceCheck(silenceLimitMillis());
		}
		else if (this.exchange.tryReserveRetry(this.responseStarted)) {
			this.load.recordFailure(this.context.nowMillis());
			if (this.call.filter(TargetCall::isUnansweredOnReusedConnection).isPresent()) {
				this.context.client().recordDroppedConnection(this.target);
			}
			boolean executionCounted = this.responseStarted;
			cancel();
			this.exchange.retry(executionCounted, "silent for " + silenceLimitMillis() + " ms");
		}
		else {
			scheduleSilenceCheck(silenceLimitMillis());
		}
	}

	@Override
	public void onHead(ResponseHead head) {
		long nowMillis = this.context.nowMillis();
		this.lastReceivedMillis = nowMillis;
		this.status = head.status();
		this.context.loads().domainReachability().recordReachable(this.target.domain());
		head.load().ifPresent(this.load::updateSample);
		updateLimit(head, nowMillis);
		recordWishes(head, nowMillis);
		if (head.notExecuted() || head.status() == MISDIRECTED_REQUEST) {
			this.call.ifPresent(TargetCall::cancel);
			this.load.recordRejection(nowMillis);
			failAttempt(AttemptFailure.NOT_EXECUTED, "status " + head.status());
			return;
		}
		if (head.contentEncoded() || (head.isSuccess() && !head.sealed())) {
			this.call.ifPresent(TargetCall::cancel);
			this.load.recordFailure(nowMillis);
			failAttempt(AttemptFailure.BROKEN, "status " + head.status() + " without a signature or with an encoding");
			return;
		}
		this.load.recordResponse(head.isServerError());
		if (PROMISES_OF_NO_RUN.contains(head.status()) && !this.exchange.route().semantics().isRepeatable()) {
			// The caller would take the status for the promise that the call has not run.
			this.call.ifPresent(TargetCall::cancel);
			failAttempt(AttemptFailure.BROKEN, "status " + head.status() + " without that promise");
			return;
		}
		if (this.exchange.responseSink().isStarted() && !(head.isSuccess() && head.eventStream())) {
			// The body of this response must not be forwarded as the rest of the stream.
			this.call.ifPresent(TargetCall::cancel);
			failAttempt(AttemptFailure.BROKEN, "status " + head.status() + " in place of the rest of a stream");
			return;
		}
		if (head.isServerError()) {
			handleServerError(head);
			return;
		}
		forwardResponse(head);
	}

	// A rejection may come from another target at the same address, or lack the limit.
	private void updateLimit(ResponseHead head, long nowMillis) {
		boolean hasLimit = head.limitPerSecond().isPresent();
		boolean isUnchanged = !hasLimit && !this.load.limit().isLimited();
		if (isUnchanged || head.status() == MISDIRECTED_REQUEST || (head.notExecuted() && !hasLimit)) {
			return;
		}
		if (this.load.updateLimit(new TargetLimit(head.limitPerSecond(), nowMillis), this.context.fleetPosition())) {
			this.context.announceNews();
			this.context.log()
				.write(LogEvent.TARGET_LIMIT_CHANGED, "target", this.target.id(), "limitPerSecond",
						this.load.limit().toLogText(), "source", "response");
		}
	}

	// A misdirected request was answered by another target at the same address.
	private void recordWishes(ResponseHead head, long nowMillis) {
		if (head.status() == MISDIRECTED_REQUEST) {
			return;
		}
		if (head.leaving()) {
			this.context.routingState().markLeaving(this.target);
		}
		head.pauseMillis()
			.ifPresent((pauseMillis) -> this.load
				.recordRequestedPause(new RequestedPause(this.target.startedAtMillis(), nowMillis + pauseMillis)));
	}

	private void handleServerError(ResponseHead head) {
		if (this.exchange.handleFailedAttempt(AttemptFailure.FAILURE_ANSWERED, false, "status " + head.status())) {
			this.responseStarted = true;
			this.exchange.responseSink().startResponse(head);
			return;
		}
		this.call.ifPresent(TargetCall::cancel);
		finish();
	}

	private void forwardResponse(ResponseHead head) {
		this.responseStarted = true;
		this.exchange.startResponse(head, this.target);
	}

	@Override
	public void onContent(ByteBuf content) {
		ResponseSink sink = this.exchange.responseSink();
		Optional<String> previousEventId = sink.lastEventId();
		if (!sink.addContent(content)) {
			this.call.ifPresent(TargetCall::cancel);
			failAttempt(AttemptFailure.BROKEN, "the bytes are no events with increasing ids");
			return;
		}
		if (previousEventId.isEmpty() && sink.lastEventId().isPresent()) {
			this.exchange.recordFirstEvent(this.target);
		}
		// Comments and parts of an event are no progress of a stream.
		if (!sink.isEventStream() || !sink.lastEventId().equals(previousEventId)) {
			this.lastReceivedMillis = this.context.nowMillis();
			this.exchange.evidence().recordProgress(this.target, sink.eventCount());
		}
	}

	@Override
	public void onComplete() {
		if (!this.exchange.responseSink().complete()) {
			failAttempt(AttemptFailure.BROKEN, "the last event is not whole");
			return;
		}
		finish();
		if (HttpStatusClass.SUCCESS.contains(this.status)) {
			this.exchange.evidence().recordCompletion(this.target);
		}
		this.exchange.endCompletedCall(this.status);
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		if (failure != CallFailure.NOT_SENT) {
			this.exchange.evidence().recordLostConnection(this.target, this.sentAtMillis);
		}
		if (failure == CallFailure.DROPPED_CONNECTION) {
			// The end of an idle connection says nothing about the health of the target.
			this.context.client().recordDroppedConnection(this.target);
			this.exchange.allowAgain(this.target);
			failAttempt(AttemptFailure.BROKEN, "reused connection: " + detail);
			return;
		}
		this.context.prefixHolders().removeEngine(this.target.id());
		if (failure == CallFailure.NOT_SENT) {
			this.context.loads()
				.domainReachability()
				.recordConnectFailure(this.target.domain(), this.target.id(), this.context.nowMillis());
		}
		this.load.recordFailure(this.context.nowMillis());
		failAttempt((failure == CallFailure.NOT_SENT) ? AttemptFailure.NOT_SENT : AttemptFailure.BROKEN, detail);
	}

	private void failAttempt(AttemptFailure failure, String detail) {
		if (this.ended) {
			return;
		}
		boolean executionCounted = this.responseStarted;
		finish();
		this.exchange.handleFailedAttempt(failure, executionCounted, detail);
	}

	private void finish() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.silenceTimer.ifPresent((timer) -> timer.cancel(false));
		this.load.requestEnded();
	}

	/**
	 * Cancels the attempt; the exchange is not notified of its end.
	 */
	void cancel() {
		this.call.ifPresent(TargetCall::cancel);
		finish();
	}

	boolean isSent() {
		return this.call.filter(TargetCall::isSent).isPresent();
	}

	/**
	 * Resumes or suspends reading from the target.
	 * @param autoRead true to read, false to suspend reading
	 */
	void setAutoRead(boolean autoRead) {
		this.lastReceivedMillis = this.context.nowMillis();
		this.call.ifPresent((targetCall) -> targetCall.setAutoRead(autoRead));
	}

}
