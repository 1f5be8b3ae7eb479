package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.catalogue.PendingPublish.Stage;
import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.AppendResult;
import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.PublishEnded;
import org.mustardlane.core.event.PublishRequested;
import org.mustardlane.core.model.catalogue.CatalogueChange;
import org.mustardlane.core.model.catalogue.Finding;
import org.mustardlane.core.model.catalogue.PublishResult;
import org.mustardlane.core.model.catalogue.PublishVerdict;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;

/**
 * The changes that operators have submitted to this router and that have no verdict yet.
 *
 * <p>
 * Only a record that was read from the log decides whether a change was accepted. Not
 * thread-safe: guarded by the lock of {@link CatalogueHandler}.
 */
final class PublishTable {

	private static final int MAX_PENDING = 256;

	private static final String APPEND_PREFIX = "catalogue-change-";

	private final Map<String, PendingPublish> pending = new LinkedHashMap<>();

	private final CatalogueSettings settings;

	PublishTable(CatalogueSettings settings) {
		this.settings = settings;
	}

	boolean isEmpty() {
		return this.pending.isEmpty();
	}

	/**
	 * Adds a change from an operator, which {@link #advance} then checks and appends.
	 * @param request the change with its deadline
	 * @return the result, if it is known without reading the log, else empty
	 */
	List<NodeAction> add(PublishRequested request) {
		CatalogueChange change = request.change();
		List<Finding> findings = ChangeRules.check(change);
		if (!findings.isEmpty()) {
			return List.of(new PublishEnded(change.changeId(), rejectedResult(findings)));
		}
		if (this.pending.containsKey(change.changeId())) {
			this.pending.computeIfPresent(change.changeId(),
					(id, publish) -> publish.extendDeadline(request.deadlineMillis()));
			return List.of();
		}
		if (this.pending.size() >= MAX_PENDING) {
			return List.of(new PublishEnded(change.changeId(), resultWith(PublishVerdict.UNAVAILABLE)));
		}
		ParsedChange parsed = ChangeParser.parse(change.yaml());
		if (!parsed.findings().isEmpty()) {
			return List.of(new PublishEnded(change.changeId(), rejectedResult(parsed.findings())));
		}
		this.pending.put(change.changeId(), new PendingPublish(change.changeId(), change.author(),
				RendezvousHash.hash(change.yaml()), parsed, request.deadlineMillis(), Stage.CHECKING, 0, false));
		return List.of();
	}

	/**
	 * Handles the result of an append.
	 * @param append the ended append
	 * @param nowMillis the current time
	 * @return the result for the operator, if the change is certainly not in the log,
	 * else empty
	 */
	List<NodeAction> handleAppendEnded(LogAppendEnded append, long nowMillis) {
		if (!append.appendId().startsWith(APPEND_PREFIX)) {
			return List.of();
		}
		String changeId = append.appendId().substring(APPEND_PREFIX.length());
		PendingPublish publish = this.pending.get(changeId);
		if (publish == null || publish.stage() == Stage.APPENDED) {
			return List.of();
		}
		if (append.result() == AppendResult.APPENDED) {
			this.pending.put(changeId, publish.withStage(Stage.APPENDED, 0));
			return List.of();
		}
		if (append.result() == AppendResult.REJECTED && !publish.ambiguous()) {
			return List.of(finish(changeId, resultWith(PublishVerdict.UNAVAILABLE)));
		}
		this.pending.put(changeId,
				publish.withStage(Stage.APPEND_UNKNOWN, nowMillis + this.settings.appendRetryMillis()));
		return List.of();
	}

	/**
	 * Advances all pending changes by as many stages as the catalogue permits.
	 * @param state the catalogue on this router
	 * @param coverage how much of the log the catalogue is known to cover
	 * @param nowMillis the current time
	 * @return appends, subscriptions to the log and results for operators
	 */
	List<NodeAction> advance(CatalogueState state, LogCoverage coverage, long nowMillis) {
		List<NodeAction> actions = new ArrayList<>();
		for (PendingPublish publish : List.copyOf(this.pending.values())) {
			advance(publish, state, coverage, nowMillis).ifPresent(actions::add);
		}
		return actions;
	}

	private Optional<NodeAction> advance(PendingPublish publish, CatalogueState state, LogCoverage coverage,
			long nowMillis) {
		Optional<HistoryRow> row = state.findChange(publish.changeId());
		if (row.isPresent()) {
			return Optional.of(finish(publish.changeId(), toResult(row.get(), publish)));
		}
		if (nowMillis >= publish.deadlineMillis()) {
			PublishVerdict verdict = isBeforeAppend(publish) ? PublishVerdict.UNAVAILABLE : PublishVerdict.UNKNOWN;
			return Optional.of(finish(publish.changeId(), resultWith(verdict)));
		}
		if (isBeforeAppend(publish) && coverage != LogCoverage.PARTIAL) {
			return validate(publish, state, coverage);
		}
		if (publish.stage() == Stage.APPEND_UNKNOWN && nowMillis >= publish.retryAtMillis()) {
			return Optional.of(append(publish));
		}
		return Optional.empty();
	}

	private static boolean isBeforeAppend(PendingPublish publish) {
		return publish.stage() == Stage.CHECKING || publish.stage() == Stage.CONFIRMING;
	}

	private Optional<NodeAction> validate(PendingPublish publish, CatalogueState state, LogCoverage coverage) {
		CatalogueDelta delta = publish.parsed().delta().orElseThrow();
		Optional<Long> conflictingRevision = findConflictingRevision(state, delta);
		if (conflictingRevision.isPresent()) {
			return Optional.of(finish(publish.changeId(),
					new PublishResult(PublishVerdict.LOST_RACE, 0, conflictingRevision.get(), List.of())));
		}
		List<ReferenceRules.Violation> violations = ReferenceRules.check(state.applyDelta(delta, state.nextOffset()));
		if (violations.isEmpty()) {
			return Optional.of(append(publish));
		}
		if (publish.stage() == Stage.CHECKING) {
			return Optional.of(rereadLog(publish, state));
		}
		if (coverage != LogCoverage.UP_TO_DATE) {
			return Optional.empty();
		}
		List<Finding> findings = violations.stream().map(publish.parsed()::toFinding).toList();
		return Optional.of(finish(publish.changeId(), rejectedResult(findings)));
	}

	private NodeAction rereadLog(PendingPublish publish, CatalogueState state) {
		this.pending.put(publish.changeId(), publish.withStage(Stage.CONFIRMING, 0));
		return new FollowStream(StreamName.CATALOGUE, Math.max(1, state.nextOffset() - 1));
	}

	private static Optional<Long> findConflictingRevision(CatalogueState state, CatalogueDelta delta) {
		boolean isStateOutdated = delta.baseRevisions()
			.values()
			.stream()
			.anyMatch((baseRevision) -> baseRevision >= state.nextOffset());
		return isStateOutdated ? Optional.empty() : state.findConflictingRevision(delta);
	}

	private NodeAction append(PendingPublish publish) {
		this.pending.put(publish.changeId(), publish.withStage(Stage.APPENDING, 0));
		PublishedChange change = new PublishedChange(publish.changeId(), publish.author(), publish.contentHash(),
				publish.parsed().delta().orElseThrow());
		RecordBody body = new RecordBody(RecordType.CHANGE, RecordCodec.encode(change));
		return new AppendLog(StreamName.CATALOGUE, APPEND_PREFIX + publish.changeId(), List.of(body));
	}

	private PublishEnded finish(String changeId, PublishResult result) {
		this.pending.remove(changeId);
		return new PublishEnded(changeId, result);
	}

	private static PublishResult toResult(HistoryRow row, PendingPublish publish) {
		if (row.contentHash() != publish.contentHash()) {
			return rejectedResult(List.of(ChangeRules.reusedChangeId(row)));
		}
		if (row.verdict() == ChangeVerdict.ACCEPTED) {
			return new PublishResult(PublishVerdict.ACCEPTED, row.revision(), 0, List.of());
		}
		return new PublishResult(PublishVerdict.LOST_RACE, 0, row.winnerRevision(), List.of());
	}

	private static PublishResult resultWith(PublishVerdict verdict) {
		return new PublishResult(verdict, 0, 0, List.of());
	}

	private static PublishResult rejectedResult(List<Finding> findings) {
		return new PublishResult(PublishVerdict.REJECTED, 0, 0, findings);
	}

	/**
	 * How much of the log the catalogue of this router is known to cover.
	 */
	enum LogCoverage {

		/**
		 * The log was never read to its end.
		 */
		PARTIAL,

		/**
		 * The log was read to its end at least once; newer records may exist.
		 */
		COMPLETE,

		/**
		 * The log has just been read to its end.
		 */
		UP_TO_DATE

	}

}
