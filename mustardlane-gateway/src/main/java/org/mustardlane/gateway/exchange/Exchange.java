package org.mustardlane.gateway.exchange;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.placement.PlacementRequest;
import org.mustardlane.core.retry.AttemptResult;
import org.mustardlane.core.retry.CallState;
import org.mustardlane.core.retry.NextStep;
import org.mustardlane.core.retry.RetryRules;
import org.mustardlane.core.route.Organisation;
import org.mustardlane.core.route.Route;
import org.mustardlane.gateway.front.CallerChannel;
import org.mustardlane.gateway.front.OpenCall;
import org.mustardlane.gateway.front.Rejection;
import org.mustardlane.gateway.report.CallOutcome;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.wire.AnswerHead;
import org.mustardlane.gateway.wire.Dispatch;

/**
 * One call from its arrival to its outcome.
 *
 * <p>
 * Whether a refusal may say that the call has not run follows from one number, the
 * attempts that may have run. Confined to the event loop of the daemon.
 */
final class Exchange implements OpenCall {

	private final ExchangeServices services;

	private final RoutedCall routed;

	private final CallerChannel caller;

	private final Runnable onEnd;

	private final AnswerSink sink;

	private final Set<TargetId> tried = new HashSet<>();

	private Optional<Attempt> current = Optional.empty();

	private String lastTarget = "";

	private Optional<Future<?>> deadline = Optional.empty();

	private int runs;

	private int sends;

	private boolean ended;

	Exchange(ExchangeServices services, RoutedCall routed, CallerChannel caller, Runnable onEnd) {
		this.services = services;
		this.routed = routed;
		this.caller = caller;
		this.onEnd = onEnd;
		this.sink = new AnswerSink(caller);
	}

	/**
	 * Sends the call to a first target.
	 */
	void start() {
		long left = timeLeftMillis();
		if (left <= 0) {
			refuse("No time is left", CallOutcome.EXPIRED);
			return;
		}
		this.deadline = Optional.of(this.services.loop().schedule(this::timeIsUp, left, TimeUnit.MILLISECONDS));
		this.services.firstSend(this.routed.pool());
		dispatch();
	}

	private long timeLeftMillis() {
		return this.routed.deadlineMillis() - this.services.nowMillis();
	}

	private void dispatch() {
		Optional<TargetEntry> target = choose();
		if (target.isEmpty()) {
			giveUp("No target takes the call");
			return;
		}
		send(target.get());
	}

	private Optional<TargetEntry> choose() {
		List<TargetEntry> candidates = this.services.knowledge()
			.targets()
			.ready(this.routed.pool())
			.stream()
			.filter((target) -> !this.tried.contains(target.id()))
			.toList();
		return this.services.placement()
			.choose(new PlacementRequest(candidates, this.routed.prefix(), this.services.domain(),
					this.services.nowMillis()), this.services.loads());
	}

	private void send(TargetEntry target) {
		this.sends++;
		this.tried.add(target.id());
		this.lastTarget = target.id().value();
		HttpRequest head = this.services.dialect()
			.writeDispatch(this.routed.call().request(), new Dispatch(target.id(), Math.max(1, timeLeftMillis()),
					this.routed.organisation().map(Organisation::id), this.sink.lastEventId(), copySource(target)));
		Attempt attempt = new Attempt(this.services, this, target);
		this.current = Optional.of(attempt);
		attempt.send(this.requestId(), head, this.routed.call().body());
	}

	private Optional<TargetEntry> copySource(TargetEntry target) {
		if (!this.routed.copies()) {
			return Optional.empty();
		}
		List<TargetEntry> pool = this.services.knowledge().targets().ready(this.routed.pool());
		return this.routed.prefix()
			.flatMap((prefix) -> this.services.holders().source(prefix, target, pool, this.services.nowMillis()))
			.filter((source) -> !this.services.loads()
				.isPaused(source, this.services.domain(), this.services.nowMillis()));
	}

	String requestId() {
		return this.routed.call().head().requestId();
	}

	Route route() {
		return this.routed.route();
	}

	/**
	 * Takes the head of an answer that is to be passed on.
	 * @param head the head
	 * @param target who answers
	 */
	void answerBegins(AnswerHead head, TargetEntry target) {
		this.runs++;
		this.services.metrics()
			.answerBegun(this.routed.pool(), this.services.nowMillis() - this.routed.call().arrivedAtMillis());
		if (head.isSuccess()) {
			this.routed.prefix()
				.ifPresent((prefix) -> this.services.holders().answered(prefix, target, this.services.nowMillis()));
		}
		this.sink.head(head);
	}

	AnswerSink sink() {
		return this.sink;
	}

	/**
	 * Takes the end of an answer that was passed on whole.
	 * @param status its status
	 */
	void answered(int status) {
		end(CallOutcome.ANSWERED, status, "");
	}

	/**
	 * Decides what follows an attempt without a usable answer.
	 * @param result how it ended
	 * @param counted whether it was counted as one that may have run
	 * @param detail what was seen
	 * @return whether the failure that the target answered is to be passed on
	 */
	boolean attemptFailed(AttemptResult result, boolean counted, String detail) {
		boolean mayHaveRun = result == AttemptResult.BROKEN || result == AttemptResult.FAILURE_ANSWERED;
		if (mayHaveRun && !counted) {
			this.runs++;
		}
		NextStep step = nextStep(result);
		logAttempt(result, step, detail);
		this.services.metrics().attemptFailed(result, step);
		if (step == NextStep.RELAY) {
			return true;
		}
		this.current = Optional.empty();
		if (step == NextStep.GIVE_UP) {
			giveUp(detail);
		}
		else {
			dispatchAgain();
		}
		return false;
	}

	private NextStep nextStep(AttemptResult result) {
		NextStep step = RetryRules.after(state(), result);
		if (step == NextStep.GIVE_UP || step == NextStep.RELAY) {
			return step;
		}
		if (!this.sink.canContinue()) {
			return NextStep.GIVE_UP;
		}
		if (step == NextStep.RETRY_WITHIN_BUDGET
				&& !(hasOtherTarget() && this.services.tryRepeat(this.routed.pool()))) {
			return (result == AttemptResult.FAILURE_ANSWERED) ? NextStep.RELAY : NextStep.GIVE_UP;
		}
		return step;
	}

	private void dispatchAgain() {
		this.sink.dropPartial();
		dispatch();
	}

	private void logAttempt(AttemptResult result, NextStep step, String detail) {
		this.services.log()
			.write(LogEvent.ATTEMPT_FAILED, "requestId", requestId(), "pool", this.routed.pool(), "target",
					this.lastTarget, "result", result, "next", step, "runs", this.runs, "sends", this.sends, "detail",
					detail);
	}

	/**
	 * Asks whether the present attempt, which has not ended, may be replaced by one at
	 * another target.
	 * @param counted whether it was counted as one that may have run
	 * @return whether it may; if so, the repeat is taken from the budget
	 */
	boolean tryReserveRepeat(boolean counted) {
		CallState ran = new CallState(route().semantics(), counted ? this.runs : this.runs + 1, route().maxAttempts(),
				this.sends);
		return hasOtherTarget() && this.sink.canContinue() && RetryRules.mayRunAgain(ran)
				&& this.services.tryRepeat(this.routed.pool());
	}

	/**
	 * Sends the call to another target, for which a repeat was reserved.
	 * @param counted whether the former attempt was counted as one that may have run
	 * @param detail what was seen of it
	 */
	void repeat(boolean counted, String detail) {
		if (!counted) {
			this.runs++;
		}
		logAttempt(AttemptResult.BROKEN, NextStep.RETRY_WITHIN_BUDGET, detail);
		this.services.metrics().attemptFailed(AttemptResult.BROKEN, NextStep.RETRY_WITHIN_BUDGET);
		this.current = Optional.empty();
		dispatchAgain();
	}

	private boolean hasOtherTarget() {
		return this.services.knowledge()
			.targets()
			.ready(this.routed.pool())
			.stream()
			.anyMatch((target) -> !this.tried.contains(target.id()));
	}

	private CallState state() {
		return new CallState(route().semantics(), this.runs, route().maxAttempts(), this.sends);
	}

	private void giveUp(String detail) {
		if (this.sink.isBegun()) {
			end(CallOutcome.BROKEN_OFF, 0, detail);
			this.caller.abort();
		}
		else if (this.runs > 0) {
			fail(HttpResponseStatus.BAD_GATEWAY, detail);
		}
		else {
			refuse(detail, CallOutcome.REFUSED);
		}
	}

	private void refuse(String detail, CallOutcome outcome) {
		Rejection rejection = Rejection.passing(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), detail,
				RetryTimes.afterRefusal(this.services.draw()));
		end(outcome, rejection.status(), detail);
		this.caller.reject(rejection);
	}

	private void fail(HttpResponseStatus status, String detail) {
		Rejection rejection = Rejection.lasting(status.code(), detail);
		end(CallOutcome.FAILED, status.code(), detail);
		this.caller.reject(rejection);
	}

	private void timeIsUp() {
		if (this.ended) {
			return;
		}
		boolean running = this.current.filter(Attempt::isSent).isPresent();
		this.current.ifPresent(Attempt::cancel);
		this.current = Optional.empty();
		if (this.sink.isBegun()) {
			giveUp("The time is up");
		}
		else if (running || this.runs > 0) {
			fail(HttpResponseStatus.GATEWAY_TIMEOUT, "The time is up");
		}
		else {
			refuse("The time is up", CallOutcome.EXPIRED);
		}
	}

	@Override
	public void callerGone() {
		if (this.ended) {
			return;
		}
		this.current.ifPresent(Attempt::cancel);
		end(CallOutcome.CALLER_GONE, 0, "");
	}

	@Override
	public void writabilityChanged(boolean writable) {
		this.current.ifPresent((attempt) -> attempt.setReading(writable));
	}

	private void end(CallOutcome outcome, int status, String detail) {
		this.ended = true;
		this.deadline.ifPresent((timer) -> timer.cancel(false));
		long elapsed = this.services.nowMillis() - this.routed.call().arrivedAtMillis();
		this.services.metrics().callEnded(outcome, this.routed.pool(), elapsed);
		this.services.log()
			.write(LogEvent.CALL_ENDED, "requestId", requestId(), "route", route().name(), "pool", this.routed.pool(),
					"target", this.lastTarget, "outcome", outcome, "status", status, "runs", this.runs, "sends",
					this.sends, "elapsedMillis", elapsed, "routesVersion", this.routed.routesVersion(), "detail",
					detail);
		this.onEnd.run();
	}

}
