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
 * The changes that operators wait for on this router.
 *
 * <p>
 * A change is settled only by what the log says of its change id. Guarded by the lock of
 * the handler.
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
	 * Takes a change from an operator; {@link #advance} carries it on.
	 * @param request the change
	 * @return the answer, where it needs no look at the log
	 */
	List<NodeAction> request(PublishRequested request) {
		CatalogueChange change = request.change();
		List<Finding> findings = ChangeRules.check(change);
		if (!findings.isEmpty()) {
			return List.of(new PublishEnded(change.changeId(), rejected(findings)));
		}
		if (this.pending.containsKey(change.changeId())) {
			this.pending.computeIfPresent(change.changeId(), (id, waiting) -> waiting.until(request.deadlineMillis()));
			return List.of();
		}
		if (this.pending.size() >= MAX_PENDING) {
			return List.of(new PublishEnded(change.changeId(), result(PublishVerdict.UNAVAILABLE)));
		}
		ParsedChange parsed = ChangeParser.parse(change.yaml());
		if (!parsed.findings().isEmpty()) {
			return List.of(new PublishEnded(change.changeId(), rejected(parsed.findings())));
		}
		this.pending.put(change.changeId(), new PendingPublish(change.changeId(), change.author(),
				RendezvousHash.hash(change.yaml()), parsed, request.deadlineMillis(), Stage.CHECKING, 0, false));
		return List.of();
	}

	/**
	 * Takes the end of an append.
	 * @param ended the end
	 * @param nowMillis the time
	 * @return the answer to the operator, where the change is certainly not in the log
	 */
	List<NodeAction> appendEnded(LogAppendEnded ended, long nowMillis) {
		if (!ended.appendId().startsWith(APPEND_PREFIX)) {
			return List.of();
		}
		String changeId = ended.appendId().substring(APPEND_PREFIX.length());
		PendingPublish waiting = this.pending.get(changeId);
		if (waiting == null || waiting.stage() == Stage.APPENDED) {
			return List.of();
		}
		if (ended.result() == AppendResult.APPENDED) {
			this.pending.put(changeId, waiting.at(Stage.APPENDED, 0));
			return List.of();
		}
		if (ended.result() == AppendResult.REJECTED && !waiting.ambiguous()) {
			return List.of(end(changeId, result(PublishVerdict.UNAVAILABLE)));
		}
		this.pending.put(changeId, waiting.at(Stage.LOST_ANSWER, nowMillis + this.settings.appendRetryMillis()));
		return List.of();
	}

	/**
	 * Carries the changes on.
	 * @param state the catalogue
	 * @param view how well the state is known to hold the whole log
	 * @param nowMillis the time
	 * @return appends, reads and answers to operators
	 */
	List<NodeAction> advance(CatalogueState state, LogView view, long nowMillis) {
		List<NodeAction> actions = new ArrayList<>();
		for (PendingPublish waiting : List.copyOf(this.pending.values())) {
			advance(waiting, state, view, nowMillis).ifPresent(actions::add);
		}
		return actions;
	}

	private Optional<NodeAction> advance(PendingPublish waiting, CatalogueState state, LogView view, long nowMillis) {
		Optional<HistoryRow> row = state.find(waiting.changeId());
		if (row.isPresent()) {
			return Optional.of(end(waiting.changeId(), resultOf(row.get(), waiting)));
		}
		if (nowMillis >= waiting.deadlineMillis()) {
			PublishVerdict verdict = isUntouched(waiting) ? PublishVerdict.UNAVAILABLE : PublishVerdict.UNKNOWN;
			return Optional.of(end(waiting.changeId(), result(verdict)));
		}
		if (isUntouched(waiting) && view != LogView.PARTIAL) {
			return check(waiting, state, view);
		}
		if (waiting.stage() == Stage.LOST_ANSWER && nowMillis >= waiting.retryMillis()) {
			return Optional.of(append(waiting));
		}
		return Optional.empty();
	}

	private static boolean isUntouched(PendingPublish waiting) {
		return waiting.stage() == Stage.CHECKING || waiting.stage() == Stage.CONFIRMING;
	}

	private Optional<NodeAction> check(PendingPublish waiting, CatalogueState state, LogView view) {
		CatalogueDelta delta = waiting.parsed().delta().orElseThrow();
		Optional<Long> winner = knownWinner(state, delta);
		if (winner.isPresent()) {
			return Optional
				.of(end(waiting.changeId(), new PublishResult(PublishVerdict.LOST_RACE, 0, winner.get(), List.of())));
		}
		List<ReferenceRules.Violation> violations = ReferenceRules.check(state.with(delta, state.nextOffset()));
		if (violations.isEmpty()) {
			return Optional.of(append(waiting));
		}
		if (waiting.stage() == Stage.CHECKING) {
			return Optional.of(confirm(waiting, state));
		}
		if (view != LogView.FRESH) {
			return Optional.empty();
		}
		List<Finding> findings = violations.stream().map(waiting.parsed()::locate).toList();
		return Optional.of(end(waiting.changeId(), rejected(findings)));
	}

	private NodeAction confirm(PendingPublish waiting, CatalogueState state) {
		this.pending.put(waiting.changeId(), waiting.at(Stage.CONFIRMING, 0));
		return new FollowStream(StreamName.CATALOGUE, Math.max(1, state.nextOffset() - 1));
	}

	private static Optional<Long> knownWinner(CatalogueState state, CatalogueDelta delta) {
		boolean behind = delta.baseRevisions().values().stream().anyMatch((base) -> base >= state.nextOffset());
		return behind ? Optional.empty() : state.winnerOver(delta);
	}

	private NodeAction append(PendingPublish waiting) {
		this.pending.put(waiting.changeId(), waiting.at(Stage.APPENDING, 0));
		PublishedChange change = new PublishedChange(waiting.changeId(), waiting.author(), waiting.contentHash(),
				waiting.parsed().delta().orElseThrow());
		RecordBody body = new RecordBody(RecordType.CHANGE, RecordCodec.encode(change));
		return new AppendLog(StreamName.CATALOGUE, APPEND_PREFIX + waiting.changeId(), List.of(body));
	}

	private PublishEnded end(String changeId, PublishResult result) {
		this.pending.remove(changeId);
		return new PublishEnded(changeId, result);
	}

	private static PublishResult resultOf(HistoryRow row, PendingPublish waiting) {
		if (row.contentHash() != waiting.contentHash()) {
			return rejected(List.of(ChangeRules.reused(row)));
		}
		if (row.verdict() == ChangeVerdict.ACCEPTED) {
			return new PublishResult(PublishVerdict.ACCEPTED, row.revision(), 0, List.of());
		}
		return new PublishResult(PublishVerdict.LOST_RACE, 0, row.winnerRevision(), List.of());
	}

	private static PublishResult result(PublishVerdict verdict) {
		return new PublishResult(verdict, 0, 0, List.of());
	}

	private static PublishResult rejected(List<Finding> findings) {
		return new PublishResult(PublishVerdict.REJECTED, 0, 0, findings);
	}

	/**
	 * How well the state of this router is known to hold the whole log.
	 */
	enum LogView {

		/**
		 * The log was never read to its end.
		 */
		PARTIAL,

		/**
		 * The log was once read to its end.
		 */
		COMPLETE,

		/**
		 * The log has just been read to its end.
		 */
		FRESH

	}

}
