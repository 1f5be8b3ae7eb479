package org.mustardlane.gateway.exchange;

import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.placement.LoadSample;
import org.mustardlane.core.placement.PoolReachability;
import org.mustardlane.core.placement.TargetLoad;
import org.mustardlane.core.retry.AttemptFailure;
import org.mustardlane.core.stream.PoolVersion;
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
final class Attempt implements CallListener, OpenAttempt {

	/**
	 * A target that has not started to respond within this multiple of the latency
	 * objective is considered unresponsive, if another target may execute the call.
	 */
	private static final int SILENCE_LIMIT_OBJECTIVES = 3;

	/**
	 * After this time without a byte from any target of the pool, its established
	 * connections may have lost their path.
	 */
	private static final int DOUBTFUL_SILENCE_MILLIS = 500;

	/**
	 * Longer than most plain requests take.
	 */
	private static final int ABANDONED_SILENCE_MILLIS = 250;

	/**
	 * A target that has fallen silent for this time may have crashed; sound ones may be
	 * silent for a second.
	 */
	private static final int CRASH_CHECK_INTERVAL_MILLIS = 1000;

	/**
	 * Callers abandon a stream after two seconds without an event.
	 */
	private static final int STREAM_SILENCE_LIMIT_MILLIS = 1400;

	private final ExchangeContext context;

	private final Exchange exchange;

	private final TargetEntry target;

	private final TargetLoad load;

	private final PoolReachability reachability;

	private Optional<TargetCall> call = Optional.empty();

	private Optional<Future<?>> silenceTimer = Optional.empty();

	private long sentAtMillis;

	private long lastReceivedMillis;

	private long crashCheckedAtMillis = Long.MIN_VALUE;

	private boolean responseStarted;

	private int status;

	private boolean ended;

	Attempt(ExchangeContext context, Exchange exchange, TargetEntry target) {
		this.context = context;
		this.exchange = exchange;
		this.target = target;
		this.load = context.loads().of(target.id());
		this.reachability = context.reachability(target.pool());
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
					this.target.softwareVersion(), "resumes", this.exchange.routedCall().resumedRequestId(), "estimate",
					this.load.estimate(this.lastReceivedMillis), "sampleAgeMillis", sampleAgeText(), "limitPerSecond",
					this.load.limit().toLogText(), "elapsedMillis", this.exchange.report().elapsedMillis(),
					"loopLagging", this.context.isLoopLagging());
		TargetCall targetCall = this.context.client()
			.send(this.target, requestId, this.exchange.routedCall().route().semantics(),
					this.reachability.isDoubtful(), method, requestSource, body, this);
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
				: SILENCE_LIMIT_OBJECTIVES * this.exchange.routedCall().route().objectiveMillis();
	}

	private void scheduleSilenceCheck(long delayMillis) {
		if (this.exchange.routedCall().route().semantics().isRepeatable()) {
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
		else if (this.exchange.attempts().tryReserveRetry(this.responseStarted)) {
			this.load.recordFailure(this.context.nowMillis());
			if (this.call.filter(TargetCall::isUnansweredOnReusedConnection).isPresent()) {
				this.context.client().recordDroppedConnection(this.target);
			}
			this.exchange.evidence().recordSilence(this.target, this.sentAtMillis);
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
		this.reachability.recordReceived(nowMillis);
		this.context.targetReports().apply(head, this.target);
		if (head.notExecuted() || head.status() == ResponseChecks.MISDIRECTED_REQUEST) {
			this.call.ifPresent(TargetCall::cancel);
			this.load.recordRejection(nowMillis);
			failAttempt(AttemptFailure.NOT_EXECUTED, "status " + head.status());
			return;
		}
		Optional<String> corruption = ResponseChecks.findCorruption(head);
		if (corruption.isPresent()) {
			this.call.ifPresent(TargetCall::cancel);
			this.load.recordFailure(nowMillis);
			failAttempt(AttemptFailure.BROKEN, corruption.get());
			return;
		}
		this.load.recordResponse(head.isServerError());
		Optional<String> mismatch = ResponseChecks.findMismatch(head, this.exchange.routedCall().route().semantics(),
				this.exchange.responseSink());
		if (mismatch.isPresent()) {
			this.call.ifPresent(TargetCall::cancel);
			failAttempt(AttemptFailure.BROKEN, mismatch.get());
			return;
		}
		if (head.isServerError()) {
			handleServerError(head);
			return;
		}
		forwardResponse(head);
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
		this.reachability.recordReceived(this.context.nowMillis());
		ResponseSink sink = this.exchange.responseSink();
		Optional<String> previousEventId = sink.lastEventId();
		if (!sink.addContent(content)) {
			this.call.ifPresent(TargetCall::cancel);
			failAttempt(AttemptFailure.BROKEN, "the bytes are no events with increasing ids");
			return;
		}
		if (previousEventId.isEmpty() && sink.lastEventId().isPresent()) {
			this.exchange.records()
				.recordFirstEvent(new PoolVersion(this.target.pool(), this.target.softwareVersion()));
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
			this.exchange.recordConnectFailure(this.target);
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

	@Override
	public void cancel() {
		this.call.ifPresent(TargetCall::cancel);
		finish();
	}

	@Override
	public boolean isSent() {
		return this.call.filter(TargetCall::isSent).isPresent();
	}

	@Override
	public void reportAbandoned() {
		if (isSent() && this.context.nowMillis() - this.lastReceivedMillis >= ABANDONED_SILENCE_MILLIS) {
			this.exchange.evidence().recordSilence(this.target, this.sentAtMillis);
		}
	}

	@Override
	public void reportSilence() {
		long nowMillis = this.context.nowMillis();
		if (!isSent() || nowMillis - this.lastReceivedMillis < DOUBTFUL_SILENCE_MILLIS) {
			return;
		}
		this.reachability.recordSilence(this.lastReceivedMillis);
		if (nowMillis - Math.max(this.lastReceivedMillis, this.crashCheckedAtMillis) >= CRASH_CHECK_INTERVAL_MILLIS) {
			this.crashCheckedAtMillis = nowMillis;
			this.exchange.evidence().recordSilence(this.target, this.sentAtMillis);
		}
	}

	@Override
	public void setAutoRead(boolean autoRead) {
		this.lastReceivedMillis = this.context.nowMillis();
		this.call.ifPresent((targetCall) -> targetCall.setAutoRead(autoRead));
	}

}
