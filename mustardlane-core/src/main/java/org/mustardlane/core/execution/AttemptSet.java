package org.mustardlane.core.execution;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.mustardlane.core.event.ForwardAttempt;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.execution.AttemptKind;

/**
 * The attempts of one request. The response of at most one attempt is forwarded to the
 * caller.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the request table.
 */
final class AttemptSet {

	private static final int MAX_FAILURES = 4;

	private static final int MAX_RESUMES = 3;

	private static final long MIN_DEFAULT_HEDGE_DELAY_MILLIS = 1000;

	private final AcceptedRequest accepted;

	private final List<Attempt> attempts = new ArrayList<>();

	private final Set<TargetId> failedTargets = new HashSet<>();

	private Optional<Attempt> forwardedAttempt = Optional.empty();

	private int failureCount;

	private int resumeCount;

	private int nextNumber = 1;

	private boolean hedged;

	AttemptSet(AcceptedRequest accepted) {
		this.accepted = accepted;
	}

	Optional<Attempt> findRunning(int number) {
		return find(number).filter(Attempt::isRunning);
	}

	Optional<Attempt> findWaitingForGrant(int number) {
		return find(number).filter(Attempt::isWaitingForGrant);
	}

	private Optional<Attempt> find(int number) {
		return this.attempts.stream().filter((attempt) -> attempt.number() == number).findFirst();
	}

	boolean allEnded() {
		return this.attempts.stream().allMatch(Attempt::isEnded);
	}

	boolean anyRunning() {
		return this.attempts.stream().anyMatch(Attempt::isRunning);
	}

	boolean mayHaveRun() {
		return this.attempts.stream().anyMatch(Attempt::mayHaveRun);
	}

	boolean holdsGrant(long grantId) {
		return this.attempts.stream().anyMatch((attempt) -> attempt.holdsGrant(grantId));
	}

	boolean isForwarding() {
		return this.forwardedAttempt.isPresent();
	}

	/**
	 * Clears the forwarded attempt, because the caller has received nothing of its
	 * response.
	 */
	void resetForwarded() {
		this.forwardedAttempt = Optional.empty();
	}

	long deliveredBytes() {
		return this.forwardedAttempt.map(Attempt::deliveredBytes).orElse(0L);
	}

	void recordFailure(Attempt attempt) {
		this.failureCount++;
		attempt.targetId().ifPresent(this.failedTargets::add);
	}

	boolean hasRetriesLeft() {
		return this.failureCount < MAX_FAILURES;
	}

	/**
	 * Adds an attempt that waits for a grant.
	 * @param context the state that all request flows share
	 * @return the attempt, or empty if the pool has no target
	 */
	Optional<Attempt> add(FlowContext context) {
		AttemptKind kind = (deliveredBytes() > 0) ? AttemptKind.CONTINUE : AttemptKind.FRESH;
		return add(kind, this.failedTargets, context);
	}

	private Optional<Attempt> add(AttemptKind kind, Set<TargetId> excludedTargets, FlowContext context) {
		int number = this.nextNumber++;
		Optional<Attempt> attempt = GrantRequester.create(this.accepted, number, excludedTargets, context)
			.map((requester) -> new Attempt(this.accepted, number, kind, "", deliveredBytes(), requester));
		attempt.ifPresent(this.attempts::add);
		return attempt;
	}

	/**
	 * Adds a hedge: a second attempt at another target, if the first token of the only
	 * attempt is late.
	 * @param context the state that all request flows share
	 * @param nowMillis the current time
	 * @return the attempt, or empty if no hedge is due or the hedge budget is exhausted
	 */
	Optional<Attempt> addHedgeIfLate(FlowContext context, long nowMillis) {
		boolean isHedgeable = this.accepted.entry().idempotent() && this.accepted.entry().streaming();
		if (!isHedgeable || this.hedged || this.attempts.size() != 1 || isForwarding()) {
			return Optional.empty();
		}
		Attempt first = this.attempts.get(0);
		long measuredDelayMillis = context.firstTokenTimes().hedgeDelayMillis(this.accepted.entry().name());
		long defaultDelayMillis = Math.max(MIN_DEFAULT_HEDGE_DELAY_MILLIS, this.accepted.entry().expectedWorkMillis());
		long delayMillis = (measuredDelayMillis != Long.MAX_VALUE) ? measuredDelayMillis : defaultDelayMillis;
		boolean isLate = first.isRunning() && nowMillis - first.startedAtMillis() > delayMillis;
		if (!isLate || !context.budgets().hedges().tryAcquire()) {
			return Optional.empty();
		}
		this.hedged = true;
		return add(AttemptKind.FRESH, first.targetId().map(Set::of).orElse(Set.of()), context);
	}

	boolean isResumable(Attempt brokenAttempt) {
		boolean isForwarded = this.forwardedAttempt.filter(brokenAttempt::equals).isPresent();
		return isForwarded && brokenAttempt.generationId().isPresent() && !brokenAttempt.hasResumedWithoutData()
				&& this.resumeCount < MAX_RESUMES;
	}

	/**
	 * Resumes the generation of a broken attempt at the same engine with the same grant.
	 * @param brokenAttempt the attempt whose response broke off
	 * @param nowMillis the current time
	 * @return the actions to carry out
	 */
	List<NodeAction> resume(Attempt brokenAttempt, long nowMillis) {
		this.resumeCount++;
		brokenAttempt.endWithoutRelease(true);
		Attempt resumed = new Attempt(this.accepted, this.nextNumber++, AttemptKind.RESUME,
				brokenAttempt.generationId().orElseThrow(), brokenAttempt.deliveredBytes(), brokenAttempt.requester());
		this.attempts.add(resumed);
		this.forwardedAttempt = Optional.of(resumed);
		List<NodeAction> started = resumed.startWithGrantOf(brokenAttempt, nowMillis);
		return Actions.concat(started, List.of(new ForwardAttempt(this.accepted.id(), resumed.number())));
	}

	/**
	 * Forwards the response of an attempt and cancels all other attempts. If another
	 * running attempt is already being forwarded, the given attempt is cancelled instead.
	 * @param winner the attempt whose response has begun
	 * @param context the state that all request flows share
	 * @param nowMillis the current time
	 * @return the actions to carry out
	 */
	List<NodeAction> forward(Attempt winner, FlowContext context, long nowMillis) {
		boolean isOtherForwarded = this.forwardedAttempt.filter((attempt) -> attempt.isRunning() && attempt != winner)
			.isPresent();
		if (isOtherForwarded) {
			return winner.cancel(context, nowMillis);
		}
		this.forwardedAttempt = Optional.of(winner);
		List<NodeAction> actions = new ArrayList<>();
		actions.add(new ForwardAttempt(this.accepted.id(), winner.number()));
		this.attempts.stream()
			.filter((attempt) -> attempt != winner)
			.forEach((other) -> actions.addAll(other.cancel(context, nowMillis)));
		return actions;
	}

	List<NodeAction> cancelAll(FlowContext context, long nowMillis) {
		List<NodeAction> actions = new ArrayList<>();
		this.attempts.forEach((attempt) -> actions.addAll(attempt.cancel(context, nowMillis)));
		return actions;
	}

	List<NodeAction> tick(FlowContext context, long nowMillis) {
		List<NodeAction> actions = new ArrayList<>();
		waitingAttempts().forEach((attempt) -> actions.addAll(attempt.requester().tick(context, nowMillis)));
		return actions;
	}

	List<NodeAction> handleOwnershipChange(FlowContext context, long nowMillis) {
		List<NodeAction> actions = new ArrayList<>();
		waitingAttempts()
			.forEach((attempt) -> actions.addAll(attempt.requester().handleOwnershipChange(context, nowMillis)));
		return actions;
	}

	private Stream<Attempt> waitingAttempts() {
		return this.attempts.stream().filter(Attempt::isWaitingForGrant);
	}

	Stream<HeldGrant> heldGrants() {
		return this.attempts.stream().flatMap((attempt) -> attempt.heldGrant().stream());
	}

	ShardId shardOf(HeldGrant grant, FlowContext context) {
		return context.catalogue()
			.shardByTarget()
			.getOrDefault(grant.target(), find(grant.attempt()).orElseThrow().requester().shard());
	}

}
