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
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.ClaimRequest;
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

	private static final long MAINTENANCE_DELAY_MILLIS = 1_000;

	private static final long READ_OUTAGE_GRACE_MILLIS = 1_000;

	private static final long MAINTENANCE_RETRY_MILLIS = 5_000;

	private final StreamName stream;

	private final ClaimSettings settings;

	private final ClaimWindow window;

	private final ClaimAppender appender;

	private final ClaimReplies replies;

	private final Map<String, PendingClaim> pendingClaims = new LinkedHashMap<>();

	private final Set<String> claimedAttempts = new HashSet<>();

	private final StreamWatchdog watchdog = new StreamWatchdog();

	private boolean caughtUp;

	private long nextMaintenanceMillis = Long.MIN_VALUE;

	private long refuseFromMillis = Long.MAX_VALUE;

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
		this.replies = new ClaimReplies(settings);
	}

	/**
	 * Creates the action that follows the stream from the next offset to read.
	 * @return the action
	 */
	FollowStream createFollowAction() {
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
	 * @param requester the router that sent the request
	 * @param request the request
	 * @param nowMillis current time of this VM in milliseconds
	 * @return actions to perform
	 */
	List<NodeAction> handleRequest(VmId requester, ClaimRequest request, long nowMillis) {
		if (this.pendingClaims.containsKey(request.attemptId())) {
			return List.of();
		}
		PendingClaim pending = PendingClaim.of(requester, request, this.settings, nowMillis);
		if (this.pendingClaims.size() >= this.settings.maxPendingClaims() || nowMillis >= this.refuseFromMillis) {
			return List.of(new SendPeer(requester, this.replies.createUnavailable(request, 0)));
		}
		this.pendingClaims.put(request.attemptId(), pending);
		return decideAll(List.of(pending), nowMillis);
	}

	/**
	 * Handles a release.
	 * @param requester the router that sent the release
	 * @param release the release
	 * @param nowMillis current time of this VM in milliseconds
	 * @return the actions to perform, or a refusal if another router made the claim
	 */
	ReleaseResult handleRelease(VmId requester, ClaimRelease release, long nowMillis) {
		Optional<VmId> claimant = this.window.claimant(release.claimKey(), release.attemptId());
		if (claimant.isPresent() && !claimant.get().equals(requester)) {
			return new ReleaseResult(false, List.of());
		}
		removePending(release.attemptId());
		this.appender.dequeueClaim(release.attemptId());
		enqueueRelease(release.claimKey(), release.attemptId(), nowMillis);
		return new ReleaseResult(true, flush(nowMillis));
	}

	/**
	 * Stores the response of a claimed request if it is small enough.
	 * @param completion the response
	 * @param nowMillis current time of this VM in milliseconds
	 * @return actions to perform
	 */
	List<NodeAction> handleCompletion(ClaimCompletion completion, long nowMillis) {
		this.replies.toStorableRecord(completion).ifPresent((fact) -> this.appender.appendUntilRead(fact, nowMillis));
		return flush(nowMillis);
	}

	/**
	 * Applies records of the stream and decides the pending claims.
	 * @param event the records
	 * @param problems receives a message for each record that is skipped
	 * @param nowMillis current time of this VM in milliseconds
	 * @return actions to perform
	 */
	List<NodeAction> handleRecords(LogRecordsRead event, List<String> problems, long nowMillis) {
		this.watchdog.restart(nowMillis);
		this.refuseFromMillis = Long.MAX_VALUE;
		LogCoverage coverage = this.window.coverage();
		this.caughtUp &= event.firstRetainedOffset() <= coverage.nextOffset();
		coverage.skipTo(event.firstRetainedOffset());
		if (startsAfterNextOffset(event)) {
			return List.of(createFollowAction());
		}
		long previousCheckpointOffset = coverage.checkpointedThrough();
		for (LogRecord record : event.records()) {
			this.window.apply(record).ifPresent(problems::add);
		}
		if (coverage.checkpointedThrough() > previousCheckpointOffset) {
			this.nextMaintenanceMillis = nowMillis + MAINTENANCE_DELAY_MILLIS;
		}
		this.caughtUp |= event.endReached() && event.nextOffset() == coverage.nextOffset();
		this.appender.removeConfirmed(this.window);
		return decideAll(List.copyOf(this.pendingClaims.values()), nowMillis);
	}

	private boolean startsAfterNextOffset(LogRecordsRead event) {
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
	void handleReadFailure(long nowMillis) {
		this.watchdog.restart(nowMillis);
		this.refuseFromMillis = Math.min(this.refuseFromMillis, nowMillis + READ_OUTAGE_GRACE_MILLIS);
	}

	/**
	 * Handles the result of an append.
	 * @param event the result
	 * @param nowMillis current time of this VM in milliseconds
	 * @return actions to perform
	 */
	List<NodeAction> handleAppendResult(LogAppendEnded event, long nowMillis) {
		this.appender.handleAppendResult(event, this.pendingClaims.keySet(), nowMillis);
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
			.filter((pending) -> pending.replyDeadlineMillis() <= nowMillis)
			.toList();
		List<NodeAction> actions = new ArrayList<>(decideAll(due, nowMillis));
		if (this.watchdog.checkExpired(nowMillis)) {
			actions.add(createFollowAction());
		}
		if (this.caughtUp && this.nextMaintenanceMillis <= nowMillis) {
			createMaintenanceAppend(nowMillis).ifPresent(actions::add);
		}
		return actions;
	}

	private Optional<NodeAction> createMaintenanceAppend(long nowMillis) {
		long gapEndMillis = this.window.coverage().gapEndMillis(this.settings.windowMillis());
		if (gapEndMillis != Long.MAX_VALUE && !isCheckpointDue(nowMillis)) {
			return Optional.empty();
		}
		this.nextMaintenanceMillis = nowMillis + MAINTENANCE_RETRY_MILLIS;
		if (this.window.logMillis() < gapEndMillis) {
			return Optional.of(this.appender.createAppend(List.of(ClaimCodec.createMarker())));
		}
		long recordedBeforeMillis = nowMillis - this.settings.checkpointAgeMillis() / 2;
		ClaimsCheckpoint checkpoint = this.window.createCheckpoint(recordedBeforeMillis,
				this.settings.maxBatchRecords());
		return Optional.of(this.appender.createAppend(List.of(ClaimCodec.encode(checkpoint))));
	}

	private boolean isCheckpointDue(long nowMillis) {
		LogCoverage coverage = this.window.coverage();
		long oldestRecordMillis = Math.min(coverage.lastCheckpointMillis(), this.window.oldestRecordMillis());
		boolean isEmpty = coverage.nextOffset() == 1;
		return !isEmpty && oldestRecordMillis <= nowMillis - this.settings.checkpointAgeMillis();
	}

	private boolean isHistoryComplete(long nowMillis) {
		long gapEndMillis = this.window.coverage().gapEndMillis(this.settings.windowMillis());
		return this.caughtUp && gapEndMillis <= nowMillis - this.settings.clockMarginMillis();
	}

	private List<NodeAction> decideAll(List<PendingClaim> claims, long nowMillis) {
		List<NodeAction> actions = new ArrayList<>();
		for (PendingClaim pending : claims) {
			decide(pending, nowMillis).ifPresent((reply) -> {
				removePending(pending.request().attemptId());
				actions.add(new SendPeer(pending.requester(), reply));
			});
		}
		actions.addAll(flush(nowMillis));
		return actions;
	}

	private List<NodeAction> flush(long nowMillis) {
		return this.appender.flush(nowMillis).<List<NodeAction>>map(List::of).orElse(List.of());
	}

	private Optional<ClaimReply> decide(PendingClaim pending, long nowMillis) {
		String attemptId = pending.request().attemptId();
		if (nowMillis >= pending.replyDeadlineMillis() || isReleased(attemptId)) {
			return Optional.of(refuse(pending, 0, nowMillis));
		}
		if (!this.caughtUp) {
			return Optional.empty();
		}
		if (!isHistoryComplete(nowMillis)) {
			return decideWithoutHistory(pending, nowMillis);
		}
		return this.window.holder(pending.request().claimKey())
			.filter((holder) -> isOwnClaim(pending, holder)
					|| !holder.isExpired(this.settings.windowMillis(), nowMillis))
			.map((holder) -> decideHeldKey(pending, holder, nowMillis))
			.orElseGet(() -> decideFreeKey(pending, nowMillis));
	}

	private static boolean isOwnClaim(PendingClaim pending, LoggedFact<ClaimMade> holder) {
		return holder.fact().attemptId().equals(pending.request().attemptId());
	}

	private boolean isReleased(String attemptId) {
		return this.appender.hasUnconfirmedRelease(attemptId) || this.window.isReleased(attemptId);
	}

	private Optional<ClaimReply> decideWithoutHistory(PendingClaim pending, long nowMillis) {
		long gapEndMillis = this.window.coverage().gapEndMillis(this.settings.windowMillis());
		if (gapEndMillis == Long.MAX_VALUE) {
			return Optional.empty();
		}
		long waitMillis = gapEndMillis + this.settings.clockMarginMillis() - nowMillis;
		return Optional.of(refuse(pending, waitMillis, nowMillis));
	}

	private Optional<ClaimReply> decideFreeKey(PendingClaim pending, long nowMillis) {
		if (this.claimedAttempts.add(pending.request().attemptId())) {
			if (this.window.factCount() >= this.settings.maxFacts()) {
				return Optional.of(refuse(pending, 0, nowMillis));
			}
			this.appender.enqueueClaim(pending.claim());
		}
		return Optional.empty();
	}

	private Optional<ClaimReply> decideHeldKey(PendingClaim pending, LoggedFact<ClaimMade> holder, long nowMillis) {
		ClaimMade claim = holder.fact();
		if (isOwnClaim(pending, holder)) {
			return Optional.of(isAfterGap(holder) ? this.replies.createHeld(pending.request(), holder)
					: refuse(pending, 0, nowMillis));
		}
		boolean isSameBody = Arrays.equals(claim.bodyDigest(), pending.request().bodyDigest());
		Optional<ClaimCompleted> completion = this.window.completion(claim.attemptId());
		if (isSameBody && completion.isEmpty() && this.appender.hasUnconfirmedRelease(claim.attemptId())) {
			return Optional.empty();
		}
		retractClaim(pending, nowMillis);
		if (!isSameBody) {
			return Optional.of(this.replies.createHeldByOther(pending.request(), ClaimVerdict.BODY_DIFFERS, holder));
		}
		return Optional.of(completion.map((stored) -> this.replies.createCompleted(pending.request(), holder, stored))
			.orElseGet(() -> this.replies.createHeldByOther(pending.request(), ClaimVerdict.HELD_BY_OTHER, holder)));
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

	private ClaimReply refuse(PendingClaim pending, long waitMillis, long nowMillis) {
		retractClaim(pending, nowMillis);
		return this.replies.createUnavailable(pending.request(), waitMillis);
	}

	private void removePending(String attemptId) {
		this.pendingClaims.remove(attemptId);
		this.claimedAttempts.remove(attemptId);
	}

	private void retractClaim(PendingClaim pending, long nowMillis) {
		String attemptId = pending.request().attemptId();
		boolean wasQueued = this.appender.dequeueClaim(attemptId);
		if (this.claimedAttempts.contains(attemptId) && !wasQueued) {
			enqueueRelease(pending.request().claimKey(), pending.request().attemptId(), nowMillis);
		}
	}

	private void enqueueRelease(String claimKey, String attemptId, long nowMillis) {
		if (!this.window.isReleased(attemptId)) {
			this.appender.appendUntilRead(new ClaimReleased(claimKey, attemptId), nowMillis);
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
