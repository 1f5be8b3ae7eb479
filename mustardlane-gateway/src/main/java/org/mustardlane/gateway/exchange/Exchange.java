package org.mustardlane.gateway.exchange;

import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.retry.AttemptFailure;
import org.mustardlane.core.retry.CallState;
import org.mustardlane.core.retry.NextStep;
import org.mustardlane.core.retry.RetryRules;
import org.mustardlane.core.route.Organisation;
import org.mustardlane.core.route.RequestSemantics;
import org.mustardlane.core.route.Route;
import org.mustardlane.core.stream.PoolVersion;
import org.mustardlane.gateway.front.Call;
import org.mustardlane.gateway.front.CallerChannel;
import org.mustardlane.gateway.front.OpenCall;
import org.mustardlane.gateway.front.Rejection;
import org.mustardlane.gateway.quarantine.QuarantineMatch;
import org.mustardlane.gateway.report.CallOutcome;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.wire.Dispatch;
import org.mustardlane.gateway.wire.ResponseHead;
import org.mustardlane.gateway.wire.Resumption;

/**
 * One call from its arrival to its outcome.
 *
 * <p>
 * A rejection may state that the call was not executed only if no attempt may have
 * executed it, which is tracked as the number of possible executions. Confined to the
 * event loop of the daemon.
 */
final class Exchange implements OpenCall {

	private final ExchangeContext context;

	private final RoutedCall routedCall;

	private final CallerChannel caller;

	private final Consumer<Exchange> onEnd;

	private final CallerPresence callerPresence;

	private final ResponseSink responseSink;

	private final CallTargets callTargets;

	private final CallEvidence evidence;

	private final CallReport report;

	private Optional<Attempt> currentAttempt = Optional.empty();

	private Optional<Future<?>> deadlineTimer = Optional.empty();

	private int possibleExecutions;

	private int sendCount;

	private boolean ended;

	Exchange(ExchangeContext context, RoutedCall routedCall, CallerChannel caller, Consumer<Exchange> onEnd) {
		this.context = context;
		this.routedCall = routedCall;
		this.caller = caller;
		this.onEnd = onEnd;
		this.callerPresence = new CallerPresence(caller, context.clock());
		this.responseSink = new ResponseSink(caller);
		this.callTargets = new CallTargets(context, routedCall);
		this.report = new CallReport(context, routedCall);
		this.evidence = new CallEvidence(context, routedCall.call().head().requestId(), routedCall.features());
	}

	/**
	 * Sends the call to the first target, once the read that has completed the call has
	 * ended.
	 */
	void start() {
		this.context.loop().execute(this::startSafely);
	}

	// An exception outside the pipeline would leave the caller without a response.
	private void startSafely() {
		try {
			startNow();
		}
		catch (RuntimeException ex) {
			this.context.log().warn(LogEvent.UNEXPECTED_ERROR, "task", "call", "reason", ex);
			if (!this.ended) {
				failCall(HttpResponseStatus.BAD_GATEWAY, "Unexpected error");
			}
		}
	}

	private void startNow() {
		if (this.ended || !this.callerPresence.isConnected()) {
			return;
		}
		long remainingMillis = remainingMillis();
		if (remainingMillis <= 0) {
			refuseCall("No time is left", CallOutcome.EXPIRED);
			return;
		}
		this.deadlineTimer = Optional
			.of(this.context.loop().schedule(this::expire, remainingMillis, TimeUnit.MILLISECONDS));
		this.context.recordFirstSend(this.routedCall.pool());
		dispatch();
	}

	private long remainingMillis() {
		return this.routedCall.deadlineMillis() - this.context.nowMillis();
	}

	private void dispatch() {
		if (this.ended || !this.callerPresence.isConnected()) {
			return;
		}
		Optional<QuarantineMatch> quarantine = this.evidence.findQuarantine();
		if (quarantine.isPresent()) {
			endAsQuarantined(quarantine.get());
			return;
		}
		Optional<TargetEntry> target = this.callTargets.choose();
		if (target.isEmpty()) {
			long defaultDelayMillis = RetryAfter.refusalDelayMillis(this.context.nextRandom());
			giveUp("No target takes the call", this.callTargets.millisUntilCandidate().orElse(defaultDelayMillis));
			return;
		}
		sendTo(target.get());
	}

	/**
	 * Ends the call if it is quarantined and its response has not started.
	 */
	void endIfQuarantined() {
		if (!this.ended && !this.evidence.isResponseStarted()) {
			this.evidence.findQuarantine().ifPresent(this::endAsQuarantined);
		}
	}

	private void endAsQuarantined(QuarantineMatch quarantine) {
		if (this.currentAttempt.filter(Attempt::isSent).isPresent()) {
			this.possibleExecutions++;
		}
		this.currentAttempt.ifPresent(Attempt::cancel);
		this.currentAttempt = Optional.empty();
		giveUp(CallRouter.quarantineReason(quarantine), quarantine.remainingMillis());
	}

	private void sendTo(TargetEntry target) {
		this.sendCount++;
		this.callTargets.markTried(target.id());
		this.report.recordTarget(target.id().value());
		Optional<TargetEntry> copySource = this.callTargets.findCopySource(target);
		Attempt attempt = new Attempt(this.context, this, target);
		this.currentAttempt = Optional.of(attempt);
		Call call = this.routedCall.call();
		attempt.send(requestId(), call.request().method(), () -> createRequest(target, copySource), call.body());
	}

	private Optional<HttpRequest> createRequest(TargetEntry target, Optional<TargetEntry> copySource) {
		long remainingMillis = remainingMillis();
		if (remainingMillis <= 0 || !this.callerPresence.isConnected()) {
			return Optional.empty();
		}
		Dispatch dispatch = new Dispatch(target.id(), remainingMillis,
				this.routedCall.organisation().map(Organisation::id), this.routedCall.enginePriority(),
				this.responseSink.lastEventId(), copySource);
		return Optional.of(this.context.dialect().createTargetRequest(this.routedCall.call().request(), dispatch));
	}

	String requestId() {
		return this.routedCall.call().head().requestId();
	}

	/**
	 * Returns which request of its caller the call continues.
	 * @return the id of that request, empty if the call starts anew or names none
	 */
	String resumedRequestId() {
		return this.routedCall.call().head().resumption().flatMap(Resumption::requestId).orElse("");
	}

	Route route() {
		return this.routedCall.route();
	}

	/**
	 * Returns whether more of the response can be written to the caller.
	 * @return false while the caller has to read what was written before
	 */
	boolean isCallerWritable() {
		return this.caller.isWritable();
	}

	/**
	 * Starts to forward a response.
	 * @param head head of the response
	 * @param target target that sent the response
	 */
	void startResponse(ResponseHead head, TargetEntry target) {
		this.possibleExecutions++;
		this.report.recordResponseStart();
		if (head.isSuccess()) {
			this.routedCall.prefix()
				.ifPresent((prefix) -> this.context.prefixHolders()
					.recordResponse(prefix, target, this.context.nowMillis()));
		}
		this.responseSink.startResponse(head);
	}

	/**
	 * Records that the first event of a stream was forwarded.
	 * @param target target that sent the event
	 */
	void recordFirstEvent(TargetEntry target) {
		this.callTargets.requireVersion(target.softwareVersion());
		boolean isBeginning = this.routedCall.call().head().resumption().isEmpty();
		if (isBeginning && route().semantics() == RequestSemantics.RESUMABLE_STREAM) {
			this.context.streamVersions()
				.recordFirstEvent(requestId(), new PoolVersion(target.pool(), target.softwareVersion()));
		}
	}

	ResponseSink responseSink() {
		return this.responseSink;
	}

	/**
	 * Ends the call after the complete response was forwarded.
	 * @param status the HTTP status of the response
	 */
	void endCompletedCall(int status) {
		endCall(CallOutcome.ANSWERED, status, "");
	}

	/**
	 * Decides what follows an attempt without a usable response.
	 * @param failure how the attempt failed
	 * @param executionCounted whether the attempt is already counted as a possible
	 * execution
	 * @param detail description of the failure
	 * @return whether the error response of the target is to be forwarded to the caller
	 */
	boolean handleFailedAttempt(AttemptFailure failure, boolean executionCounted, String detail) {
		boolean mayHaveExecuted = failure == AttemptFailure.BROKEN || failure == AttemptFailure.FAILURE_ANSWERED;
		if (mayHaveExecuted && !executionCounted) {
			this.possibleExecutions++;
		}
		NextStep step = nextStep(failure);
		this.report.recordFailedAttempt(failure, step, detail, counts());
		if (step == NextStep.RELAY) {
			return true;
		}
		this.currentAttempt = Optional.empty();
		if (step == NextStep.GIVE_UP) {
			giveUp(detail);
		}
		else {
			retryDispatch();
		}
		return false;
	}

	private NextStep nextStep(AttemptFailure failure) {
		NextStep step = RetryRules.nextStep(callState(), failure);
		if (step == NextStep.GIVE_UP || step == NextStep.RELAY) {
			return step;
		}
		if (!this.responseSink.canResume()) {
			return NextStep.GIVE_UP;
		}
		if (step == NextStep.RETRY_WITHIN_BUDGET
				&& !(this.callTargets.hasCandidate() && this.context.tryAcquireRetry(this.routedCall.pool()))) {
			return (failure == AttemptFailure.FAILURE_ANSWERED) ? NextStep.RELAY : NextStep.GIVE_UP;
		}
		return step;
	}

	private void retryDispatch() {
		this.responseSink.discardPartialEvent();
		dispatch();
	}

	private CallReport.Counts counts() {
		return new CallReport.Counts(this.possibleExecutions, this.sendCount, this.responseSink.eventCount());
	}

	CallEvidence evidence() {
		return this.evidence;
	}

	CallReport report() {
		return this.report;
	}

	/**
	 * Reserves a retry at another target to replace the current attempt, which has not
	 * ended.
	 * @param executionCounted whether the attempt is already counted as a possible
	 * execution
	 * @return true if the retry is allowed, in which case it is deducted from the retry
	 * budget
	 */
	boolean tryReserveRetry(boolean executionCounted) {
		CallState stateWithAttempt = new CallState(route().semantics(),
				executionCounted ? this.possibleExecutions : this.possibleExecutions + 1, route().maxAttempts(),
				this.sendCount);
		return this.callTargets.hasCandidate() && this.responseSink.canResume()
				&& RetryRules.canRunAgain(stateWithAttempt) && this.context.tryAcquireRetry(this.routedCall.pool());
	}

	/**
	 * Sends the call to another target, using a retry reserved by
	 * {@link #tryReserveRetry}.
	 * @param executionCounted whether the replaced attempt is already counted as a
	 * possible execution
	 * @param detail reason for the retry
	 */
	void retry(boolean executionCounted, String detail) {
		if (!executionCounted) {
			this.possibleExecutions++;
		}
		this.report.recordFailedAttempt(AttemptFailure.BROKEN, NextStep.RETRY_WITHIN_BUDGET, detail, counts());
		this.currentAttempt = Optional.empty();
		retryDispatch();
	}

	/**
	 * Lets a retry go to a target that was tried before, over a new connection.
	 * @param target the target
	 */
	void allowAgain(TargetEntry target) {
		this.callTargets.allowAgain(target.id());
	}

	private CallState callState() {
		return new CallState(route().semantics(), this.possibleExecutions, route().maxAttempts(), this.sendCount);
	}

	private void giveUp(String detail) {
		giveUp(detail, Math.max(RetryAfter.refusalDelayMillis(this.context.nextRandom()),
				this.callTargets.millisUntilAnyTarget()));
	}

	private void giveUp(String detail, long retryAfterMillis) {
		if (this.responseSink.isStarted()) {
			endCall(CallOutcome.BROKEN_OFF, 0, detail);
			this.caller.abort();
		}
		else if (this.possibleExecutions > 0) {
			failCall(HttpResponseStatus.BAD_GATEWAY, detail);
		}
		else {
			refuseCall(detail, CallOutcome.REFUSED, retryAfterMillis);
		}
	}

	private void refuseCall(String detail, CallOutcome outcome) {
		refuseCall(detail, outcome, RetryAfter.refusalDelayMillis(this.context.nextRandom()));
	}

	private void refuseCall(String detail, CallOutcome outcome, long retryAfterMillis) {
		Rejection rejection = Rejection.temporary(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), detail,
				retryAfterMillis);
		endCall(outcome, rejection.status(), detail);
		this.caller.reject(rejection);
	}

	private void failCall(HttpResponseStatus status, String detail) {
		Rejection rejection = Rejection.permanent(status.code(), detail);
		endCall(CallOutcome.FAILED, status.code(), detail);
		this.caller.reject(rejection);
	}

	private void expire() {
		if (this.ended) {
			return;
		}
		boolean attemptSent = this.currentAttempt.filter(Attempt::isSent).isPresent();
		this.currentAttempt.ifPresent(Attempt::cancel);
		this.currentAttempt = Optional.empty();
		if (this.responseSink.isStarted()) {
			giveUp("The time is up");
		}
		else if (attemptSent || this.possibleExecutions > 0) {
			failCall(HttpResponseStatus.GATEWAY_TIMEOUT, "The time is up");
		}
		else {
			refuseCall("The time is up", CallOutcome.EXPIRED);
		}
	}

	@Override
	public void onCallerDisconnected() {
		if (this.ended) {
			return;
		}
		this.currentAttempt.ifPresent(Attempt::cancel);
		endCall(CallOutcome.CALLER_GONE, 0, "");
	}

	@Override
	public void onWritabilityChanged(boolean writable) {
		this.currentAttempt.ifPresent((attempt) -> attempt.setAutoRead(writable));
	}

	private void endCall(CallOutcome outcome, int status, String detail) {
		this.ended = true;
		this.deadlineTimer.ifPresent((timer) -> timer.cancel(false));
		this.report.recordEnd(outcome, status, detail, counts());
		this.onEnd.accept(this);
	}

}
