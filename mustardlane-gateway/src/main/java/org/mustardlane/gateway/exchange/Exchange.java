package org.mustardlane.gateway.exchange;

import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.retry.AttemptFailure;
import org.mustardlane.core.retry.NextStep;
import org.mustardlane.gateway.front.Call;
import org.mustardlane.gateway.front.CallerChannel;
import org.mustardlane.gateway.front.OpenCall;
import org.mustardlane.gateway.quarantine.QuarantineMatch;
import org.mustardlane.gateway.report.CallOutcome;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.wire.ResponseHead;

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

	private final CallAttempts attempts;

	private final CallRelay relay;

	private final CallEnding ending;

	private final CallEvidence evidence;

	private final CallReport report;

	private final ResponseRecords records;

	private Optional<OpenAttempt> currentAttempt = Optional.empty();

	private Optional<Future<?>> deadlineTimer = Optional.empty();

	private boolean ended;

	Exchange(ExchangeContext context, RoutedCall routedCall, CallerChannel caller, Consumer<Exchange> onEnd) {
		this.context = context;
		this.routedCall = routedCall;
		this.caller = caller;
		this.onEnd = onEnd;
		this.callerPresence = new CallerPresence(caller, context.clock());
		this.responseSink = new ResponseSink(caller);
		this.callTargets = new CallTargets(context, routedCall);
		this.attempts = new CallAttempts(context, routedCall, this.callTargets, this.responseSink);
		this.relay = new CallRelay(context, routedCall, this);
		this.ending = new CallEnding(context, caller, this.responseSink, this.attempts, this::endCall);
		this.report = new CallReport(context, routedCall);
		this.records = new ResponseRecords(context, routedCall, this.callTargets);
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
				this.ending.fail(HttpResponseStatus.BAD_GATEWAY, "Unexpected error");
			}
		}
	}

	private void startNow() {
		if (this.ended || !this.callerPresence.isConnected()) {
			return;
		}
		long remainingMillis = remainingMillis();
		if (remainingMillis <= 0) {
			this.ending.expire(false);
			return;
		}
		this.deadlineTimer = Optional
			.of(this.context.loop().schedule(this::expire, remainingMillis, TimeUnit.MILLISECONDS));
		if (!this.routedCall.relayed()) {
			this.context.recordFirstSend(this.routedCall.pool());
		}
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
		if (this.relay.isNeeded() && passOn()) {
			return;
		}
		if (this.relay.isReturned()) {
			giveUp("The router does not reach the targets either");
			return;
		}
		Optional<TargetEntry> target = this.callTargets.choose();
		if (target.isEmpty()) {
			this.ending.giveUp("No target takes the call",
					this.callTargets.millisUntilCandidate().orElse(this.ending.refusalDelayMillis()));
			return;
		}
		sendTo(target.get());
	}

	// Returns false if the targets have to be tried, because no router is left to ask.
	private boolean passOn() {
		Optional<RelayAttempt> attempt = this.relay.nextAttempt();
		if (attempt.isPresent()) {
			this.currentAttempt = Optional.of(attempt.get());
			attempt.get().send(this.routedCall.call());
			return true;
		}
		if (this.relay.isHopeless()) {
			giveUp("No router reaches the targets");
			return true;
		}
		return false;
	}

	/**
	 * Returns the time left for an attempt that is about to be sent.
	 * @return the time in milliseconds, or empty if the call must not be sent any more
	 */
	Optional<Long> remainingMillisIfWanted() {
		long remainingMillis = remainingMillis();
		return (remainingMillis <= 0 || !this.callerPresence.isConnected()) ? Optional.empty()
				: Optional.of(remainingMillis);
	}

	/**
	 * Asks the next router, because one has not taken the call over.
	 * @param router the router
	 * @param isReached whether the router could be connected to
	 * @param detail why it has not
	 */
	void handleDeclined(TargetEntry router, boolean isReached, String detail) {
		this.relay.recordDeclined(router, isReached, detail);
		this.currentAttempt = Optional.empty();
		dispatch();
	}

	/**
	 * Records that a target could not be connected to.
	 * @param target the target
	 */
	void recordConnectFailure(TargetEntry target) {
		this.relay.recordConnectFailure();
		this.context.recordConnectFailure(target);
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
		if (this.currentAttempt.filter(OpenAttempt::isSent).isPresent()) {
			this.attempts.recordPossibleExecution();
		}
		this.currentAttempt.ifPresent(OpenAttempt::cancel);
		this.currentAttempt = Optional.empty();
		this.ending.giveUp(CallRouter.quarantineReason(quarantine), quarantine.remainingMillis());
	}

	private void sendTo(TargetEntry target) {
		this.attempts.recordSend();
		this.callTargets.markTried(target.id());
		this.report.recordTarget(target.id().value());
		Optional<TargetEntry> copySource = this.callTargets.findCopySource(target);
		Attempt attempt = new Attempt(this.context, this, target);
		this.currentAttempt = Optional.of(attempt);
		Call call = this.routedCall.call();
		attempt.send(this.routedCall.requestId(), call.request().method(), () -> createRequest(target, copySource),
				call.body());
	}

	private Optional<HttpRequest> createRequest(TargetEntry target, Optional<TargetEntry> copySource) {
		return remainingMillisIfWanted()
			.map((remainingMillis) -> this.routedCall.dispatchTo(target, remainingMillis,
					this.responseSink.lastEventId(), copySource))
			.map((dispatch) -> this.context.dialect().createTargetRequest(this.routedCall.call().request(), dispatch));
	}

	RoutedCall routedCall() {
		return this.routedCall;
	}

	/**
	 * Returns whether more of the response can be written to the caller.
	 * @return false while the caller has to read what was written before
	 */
	boolean isCallerWritable() {
		return this.caller.isWritable();
	}

	/**
	 * Starts to forward a response of a target.
	 * @param head head of the response
	 * @param target target that sent the response
	 */
	void startResponse(ResponseHead head, TargetEntry target) {
		this.records.recordStart(head, target);
		startRelayedResponse(head);
	}

	/**
	 * Starts to forward a response that another router forwards.
	 * @param head head of the response
	 */
	void startRelayedResponse(ResponseHead head) {
		this.attempts.recordPossibleExecution();
		this.report.recordResponseStart();
		this.responseSink.startResponse(head);
	}

	ResponseRecords records() {
		return this.records;
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
			this.attempts.recordPossibleExecution();
		}
		NextStep step = this.attempts.nextStep(failure);
		this.report.recordFailedAttempt(failure, step, detail, this.attempts.counts());
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

	private void retryDispatch() {
		this.responseSink.discardPartialEvent();
		dispatch();
	}

	CallEvidence evidence() {
		return this.evidence;
	}

	CallReport report() {
		return this.report;
	}

	CallTargets callTargets() {
		return this.callTargets;
	}

	CallAttempts attempts() {
		return this.attempts;
	}

	/**
	 * Tells the reachability of the pool if nothing has arrived for long.
	 */
	void reportSilence() {
		this.currentAttempt.ifPresent(OpenAttempt::reportSilence);
	}

	/**
	 * Sends the call to another target, using a retry reserved by
	 * {@link CallAttempts#tryReserveRetry}.
	 * @param executionCounted whether the replaced attempt is already counted as a
	 * possible execution
	 * @param detail reason for the retry
	 */
	void retry(boolean executionCounted, String detail) {
		if (!executionCounted) {
			this.attempts.recordPossibleExecution();
		}
		this.report.recordFailedAttempt(AttemptFailure.BROKEN, NextStep.RETRY_WITHIN_BUDGET, detail,
				this.attempts.counts());
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

	private void giveUp(String detail) {
		this.ending.giveUp(detail, Math.max(this.ending.refusalDelayMillis(), this.callTargets.millisUntilAnyTarget()));
	}

	private void expire() {
		if (this.ended) {
			return;
		}
		boolean attemptSent = this.currentAttempt.filter(OpenAttempt::isSent).isPresent();
		this.currentAttempt.ifPresent(OpenAttempt::reportAbandoned);
		this.currentAttempt.ifPresent(OpenAttempt::cancel);
		this.currentAttempt = Optional.empty();
		this.ending.expire(attemptSent);
	}

	@Override
	public void onCallerDisconnected() {
		if (this.ended) {
			return;
		}
		this.currentAttempt.ifPresent(OpenAttempt::reportAbandoned);
		this.currentAttempt.ifPresent(OpenAttempt::cancel);
		endCall(CallOutcome.CALLER_GONE, 0, "");
	}

	@Override
	public void onWritabilityChanged(boolean writable) {
		this.currentAttempt.ifPresent((attempt) -> attempt.setAutoRead(writable));
	}

	private void endCall(CallOutcome outcome, int status, String detail) {
		this.ended = true;
		this.deadlineTimer.ifPresent((timer) -> timer.cancel(false));
		this.report.recordEnd(outcome, status, detail, this.attempts.counts());
		this.onEnd.accept(this);
	}

}
