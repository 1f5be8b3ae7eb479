package org.mustardlane.core.claim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.ClaimAnswer;
import org.mustardlane.core.message.ClaimAsk;
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.StreamName;

/**
 * Decides the claims of one partition while this router owns it.
 *
 * <p>
 * Another router may believe that it owns the partition at the same time. A key is
 * therefore granted, with the verdict {@code HELD}, only after the claim has been read
 * back from the log as the oldest valid claim of the key, on which every reader of the
 * log agrees. Not thread-safe.
 */
final class ClaimPartition {

	private static final long UPKEEP_GAP_MILLIS = 1_000;

	private static final long READ_OUTAGE_MILLIS = 1_000;

	private static final long WRITE_RETRY_MILLIS = 5_000;

	private final StreamName stream;

	private final ClaimSettings settings;

	private final ClaimWindow window;

	private final ClaimAppender appender;

	private final ClaimAnswers answers;

	private final Map<String, PendingClaim> pendingClaims = new LinkedHashMap<>();

	private final Set<String> queuedAttempts = new HashSet<>();

	private final ReadWatch readWatch = new ReadWatch();

	private boolean endSeen;

	private long nextUpkeepMillis = Long.MIN_VALUE;

	private long outageFromMillis = Long.MAX_VALUE;

	/**
	 * Creates a partition that has not read any records.
	 * @param stream the stream of the partition
	 * @param idPrefix prefix of the append ids, unique across routers and restarts
	 * @param settings limits and durations
	 */
	ClaimPartition(StreamName stream, String idPrefix, ClaimSettings settings) {
		this.stream = stream;
		this.settings = settings;
		this.window = new ClaimWindow(settings);
		this.appender = new ClaimAppender(stream, idPrefix, settings);
		this.answers = new ClaimAnswers(settings);
	}

	/**
	 * Creates the action that follows the stream from the next offset to read.
	 * @return the action
	 */
	FollowStream follow() {
		return new FollowStream(this.stream, this.window.coverage().nextOffset());
	}

	/**
	 * Returns whether no claim request is pending and no record waits to be appended or
	 * read back.
	 * @return whether the partition may be discarded
	 */
	boolean isIdle() {
		return this.pendingClaims.isEmpty() && this.appender.isIdle();
	}

	/**
	 * Handles a claim request.
	 * @param asker the router that sent the request
	 * @param ask the request
	 * @param nowMillis current time of this VM in milliseconds
	 * @return actions to perform
	 */
	List<NodeAction> ask(VmId asker, ClaimAsk ask, long nowMillis) {
		if (this.pendingClaims.containsKey(ask.attemptId())) {
			return List.of();
		}
		PendingClaim pending = PendingClaim.of(asker, ask, this.settings, nowMillis);
		if (this.pendingClaims.size() >= this.settings.pendingLimit() || nowMillis >= this.outageFromMillis) {
			return List.of(new SendPeer(asker, this.answers.unavailable(ask, 0)));
		}
		this.pendingClaims.put(ask.attemptId(), pending);
		return settleAll(List.of(pending), nowMillis);
	}

	/**
	 * Handles a release.
	 * @param asker the router that sent the release
	 * @param release the release
	 * @param nowMillis current time of this VM in milliseconds
	 * @return the actions to perform, or a refusal if another router made the claim
	 */
	ReleaseResult release(VmId asker, ClaimRelease release, long nowMillis) {
		Optional<VmId> owner = this.window.claimant(release.claimKey(), release.attemptId());
		if (owner.isPresent() && !owner.get().equals(asker)) {
			return new ReleaseResult(false, List.of());
		}
		forget(release.attemptId());
		this.appender.withdraw(release.attemptId());
		appendRelease(release.claimKey(), release.attemptId(), nowMillis);
		return new ReleaseResult(true, flush(nowMillis));
	}

	/**
	 * Stores the response of a claimed request if it is small enough.
	 * @param completion the response
	 * @param nowMillis current time of this VM in milliseconds
	 * @return actions to perform
	 */
	List<NodeAction> complete(ClaimCompletion completion, long nowMillis) {
		this.answers.stored(completion).ifPresent((fact) -> this.appender.repeat(fact, nowMillis));
		return flush(nowMillis);
	}

	/**
	 * Applies records of the stream and decides the pending claims.
	 * @param event the records
	 * @param problems receives a message for each record that is skipped
	 * @param nowMillis current time of this VM in milliseconds
	 * @return actions to perform
	 */
	List<NodeAction> read(LogRecordsRead event, List<String> problems, long nowMillis) {
		this.readWatch.sign(nowMillis);
		this.outageFromMillis = Long.MAX_VALUE;
		LogCoverage coverage = this.window.coverage();
		this.endSeen &= event.firstRetainedOffset() <= coverage.nextOffset();
		coverage.skipTo(event.firstRetainedOffset());
		if (isAhead(event)) {
			return List.of(follow());
		}
		long carriedThrough = coverage.carriedThrough();
		for (LogRecord record : event.records()) {
			this.window.fold(record).ifPresent(problems::add);
		}
		if (coverage.carriedThrough() > carriedThrough) {
			this.nextUpkeepMillis = nowMillis + UPKEEP_GAP_MILLIS;
		}
		this.endSeen |= event.atEnd() && event.nextOffset() == coverage.nextOffset();
		this.appender.confirm(this.window);
		return settleAll(List.copyOf(this.pendingClaims.values()), nowMillis);
	}

	private boolean isAhead(LogRecordsRead event) {
		long nextOffset = this.window.coverage().nextOffset();
		if (event.records().isEmpty()) {
			return event.nextOffset() > nextOffset;
		}
		return event.records().get(0).offset() > nextOffset;
	}

	/**
	 * Handles a failed read of the stream. Once reads have failed for a second, claim
	 * requests are refused without waiting.
	 * @param nowMillis current time of this VM in milliseconds
	 */
	void readFailed(long nowMillis) {
		this.readWatch.sign(nowMillis);
		this.outageFromMillis = Math.min(this.outageFromMillis, nowMillis + READ_OUTAGE_MILLIS);
	}

	/**
	 * Handles the result of an append.
	 * @param event the result
	 * @param nowMillis current time of this VM in milliseconds
	 * @return actions to perform
	 */
	List<NodeAction> ended(LogAppendEnded event, long nowMillis) {
		this.appender.ended(event, this.pendingClaims.keySet(), nowMillis);
		return flush(nowMillis);
	}

	/**
	 * Replies to claim requests whose wait has timed out, follows a silent stream again
	 * and appends a marker or checkpoint if one is due.
	 * @param nowMillis current time of this VM in milliseconds
	 * @return actions to perform
	 */
	List<NodeAction> tick(long nowMillis) {
		List<PendingClaim> due = this.pendingClaims.values()
			.stream()
			.filter((pending) -> pending.giveUpMillis() <= nowMillis)
			.toList();
		List<NodeAction> actions = new ArrayList<>(settleAll(due, nowMillis));
		if (this.readWatch.isSilent(nowMillis)) {
			actions.add(follow());
		}
		if (this.endSeen && this.nextUpkeepMillis <= nowMillis) {
			upkeep(nowMillis).ifPresent(actions::add);
		}
		return actions;
	}

	private Optional<NodeAction> upkeep(long nowMillis) {
		long gapEndMillis = this.window.coverage().gapEndMillis(this.settings.windowMillis());
		if (gapEndMillis != Long.MAX_VALUE && !isCheckpointDue(nowMillis)) {
			return Optional.empty();
		}
		this.nextUpkeepMillis = nowMillis + WRITE_RETRY_MILLIS;
		if (this.window.logMillis() < gapEndMillis) {
			return Optional.of(this.appender.append(List.of(ClaimCodec.marker())));
		}
		long statedBeforeMillis = nowMillis - this.settings.checkpointAgeMillis() / 2;
		ClaimsCheckpoint checkpoint = this.window.checkpoint(statedBeforeMillis, this.settings.batchRecords());
		return Optional.of(this.appender.append(List.of(ClaimCodec.encode(checkpoint))));
	}

	private boolean isCheckpointDue(long nowMillis) {
		LogCoverage coverage = this.window.coverage();
		long oldestMillis = Math.min(coverage.lastCheckpointMillis(), this.window.oldestStatementMillis());
		boolean unused = coverage.nextOffset() == 1;
		return !unused && oldestMillis <= nowMillis - this.settings.checkpointAgeMillis();
	}

	private boolean isReady(long nowMillis) {
		long gapEndMillis = this.window.coverage().gapEndMillis(this.settings.windowMillis());
		return this.endSeen && gapEndMillis <= nowMillis - this.settings.clockMarginMillis();
	}

	private List<NodeAction> settleAll(List<PendingClaim> claims, long nowMillis) {
		List<NodeAction> actions = new ArrayList<>();
		for (PendingClaim pending : claims) {
			settle(pending, nowMillis).ifPresent((answer) -> {
				forget(pending.ask().attemptId());
				actions.add(new SendPeer(pending.asker(), answer));
			});
		}
		actions.addAll(flush(nowMillis));
		return actions;
	}

	private List<NodeAction> flush(long nowMillis) {
		return this.appender.flush(nowMillis).<List<NodeAction>>map(List::of).orElse(List.of());
	}

	private Optional<ClaimAnswer> settle(PendingClaim pending, long nowMillis) {
		String attemptId = pending.ask().attemptId();
		if (nowMillis >= pending.giveUpMillis() || isDead(attemptId)) {
			return Optional.of(unavailable(pending, 0, nowMillis));
		}
		if (!this.endSeen) {
			return Optional.empty();
		}
		if (!isReady(nowMillis)) {
			return waitForHistory(pending, nowMillis);
		}
		return this.window.holder(pending.ask().claimKey())
			.filter((holder) -> isOwn(pending, holder) || !holder.isExpired(this.settings.windowMillis(), nowMillis))
			.map((holder) -> heldKey(pending, holder, nowMillis))
			.orElseGet(() -> freeKey(pending, nowMillis));
	}

	private static boolean isOwn(PendingClaim pending, LoggedFact<ClaimMade> holder) {
		return holder.fact().attemptId().equals(pending.ask().attemptId());
	}

	private boolean isDead(String attemptId) {
		return this.appender.isReleasing(attemptId) || this.window.isReleased(attemptId);
	}

	private Optional<ClaimAnswer> waitForHistory(PendingClaim pending, long nowMillis) {
		long gapEndMillis = this.window.coverage().gapEndMillis(this.settings.windowMillis());
		if (gapEndMillis == Long.MAX_VALUE) {
			return Optional.empty();
		}
		long waitMillis = gapEndMillis + this.settings.clockMarginMillis() - nowMillis;
		return Optional.of(unavailable(pending, waitMillis, nowMillis));
	}

	private Optional<ClaimAnswer> freeKey(PendingClaim pending, long nowMillis) {
		if (this.queuedAttempts.add(pending.ask().attemptId())) {
			if (this.window.size() >= this.settings.factLimit()) {
				return Optional.of(unavailable(pending, 0, nowMillis));
			}
			this.appender.claim(pending.claim());
		}
		return Optional.empty();
	}

	private Optional<ClaimAnswer> heldKey(PendingClaim pending, LoggedFact<ClaimMade> holder, long nowMillis) {
		ClaimMade claim = holder.fact();
		if (isOwn(pending, holder)) {
			return Optional
				.of(isAfterGap(holder) ? this.answers.held(pending.ask(), holder) : unavailable(pending, 0, nowMillis));
		}
		boolean sameBody = Arrays.equals(claim.bodyDigest(), pending.ask().bodyDigest());
		Optional<ClaimCompleted> completion = this.window.completion(claim.attemptId());
		if (sameBody && completion.isEmpty() && this.appender.isReleasing(claim.attemptId())) {
			return Optional.empty();
		}
		retract(pending, nowMillis);
		if (!sameBody) {
			return Optional.of(this.answers.other(pending.ask(), ClaimVerdict.BODY_DIFFERS, holder));
		}
		return Optional.of(completion.map((stored) -> this.answers.completed(pending.ask(), holder, stored))
			.orElseGet(() -> this.answers.other(pending.ask(), ClaimVerdict.HELD_BY_OTHER, holder)));
	}

	/**
	 * Returns whether every claim that this reader missed had expired when a claim was
	 * appended. Compares times of the log only, because the clock of this VM may be
	 * wrong.
	 * @param claim the claim
	 * @return whether no missed claim of the key can precede the claim
	 */
	private boolean isAfterGap(LoggedFact<ClaimMade> claim) {
		return claim.appendedAtMillis() >= this.window.coverage().gapEndMillis(this.settings.windowMillis());
	}

	private ClaimAnswer unavailable(PendingClaim pending, long waitMillis, long nowMillis) {
		retract(pending, nowMillis);
		return this.answers.unavailable(pending.ask(), waitMillis);
	}

	private void forget(String attemptId) {
		this.pendingClaims.remove(attemptId);
		this.queuedAttempts.remove(attemptId);
	}

	private void retract(PendingClaim pending, long nowMillis) {
		String attemptId = pending.ask().attemptId();
		boolean withdrawn = this.appender.withdraw(attemptId);
		if (this.queuedAttempts.contains(attemptId) && !withdrawn) {
			appendRelease(pending.ask().claimKey(), pending.ask().attemptId(), nowMillis);
		}
	}

	private void appendRelease(String claimKey, String attemptId, long nowMillis) {
		if (!this.window.isReleased(attemptId)) {
			this.appender.repeat(new ClaimReleased(claimKey, attemptId), nowMillis);
		}
	}

	/**
	 * The outcome of a release.
	 *
	 * @param accepted false if another router made the claim
	 * @param actions actions to perform
	 */
	record ReleaseResult(boolean accepted, List<NodeAction> actions) {

	}

}
