package org.mustardlane.gateway.knowledge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.mustardlane.core.directory.DirectoryRecord;
import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.core.directory.TargetChange;
import org.mustardlane.core.directory.TargetDirectory;
import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.directory.TargetState;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.route.RouteTable;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.wire.RecordDecoder;

/**
 * The routes and targets that this router knows.
 *
 * <p>
 * The version of the routes never decreases, whatever the source of an update. Confined
 * to the event loop of the daemon.
 */
public final class RoutingState {

	/**
	 * After the log has become available again, a target that is missing from the
	 * snapshot is removed only after this time: targets publish their records again
	 * within two seconds, and one more read of the log must follow.
	 */
	private static final int REMOVAL_GRACE_MILLIS = 2500;

	/**
	 * Above this number of records, old removals are no longer retained for other
	 * routers.
	 */
	private static final int MAX_TARGET_RECORDS = 10_000;

	private final RecordDecoder decoder;

	private final DecisionLog log;

	private final RecordApplier recordApplier;

	private final MonotonicClock clock;

	private final TargetDirectory targets = new TargetDirectory(REMOVAL_GRACE_MILLIS);

	private Optional<RouteTable> routes = Optional.empty();

	private Optional<KeyedRecord> routesRecord = Optional.empty();

	private final Map<String, KeyedRecord> targetRecords = new HashMap<>();

	private final Runnable onComplete;

	private boolean targetsLoaded;

	private boolean logUnavailable;

	private Optional<LogPosition> positionBeforeOutage = Optional.empty();

	/**
	 * Creates an empty routing state.
	 * @param decoder decodes records
	 * @param log log of decisions
	 * @param clock monotonic clock
	 * @param onComplete called whenever an update leaves routes and targets loaded, so
	 * that calls can be routed
	 */
	public RoutingState(RecordDecoder decoder, DecisionLog log, MonotonicClock clock, Runnable onComplete) {
		this.decoder = decoder;
		this.log = log;
		this.recordApplier = new RecordApplier(log);
		this.clock = clock;
		this.onComplete = onComplete;
	}

	/**
	 * Applies a record that may hold routes. Routes with an older version than the
	 * current one are ignored.
	 * @param logRecord the record
	 * @param source source of the record, for the log
	 */
	public void applyRoutes(KeyedRecord logRecord, String source) {
		this.recordApplier.apply(logRecord, (body) -> this.decoder.decodeRoutes(logRecord.key(), body))
			.ifPresent((table) -> activateRoutes(table, logRecord, source));
	}

	private void activateRoutes(RouteTable table, KeyedRecord logRecord, String source) {
		long previousVersion = routesVersion();
		if (table.version() <= previousVersion) {
			return;
		}
		this.routes = Optional.of(table);
		this.routesRecord = Optional.of(logRecord);
		notifyIfComplete();
		this.log.write(LogEvent.ROUTES_CHANGED, "version", table.version(), "before", previousVersion, "routes",
				table.routeCount(), "source", source, "position", logRecord.position());
	}

	/**
	 * Replaces the targets by a snapshot of the topic.
	 * @param snapshot newest record of each target
	 * @param end end of the topic when the snapshot was read
	 */
	public void replaceTargets(List<KeyedRecord> snapshot, LogPosition end) {
		Set<String> snapshotKeys = snapshot.stream().map(KeyedRecord::key).collect(Collectors.toSet());
		this.targetRecords.entrySet()
			.removeIf((entry) -> !snapshotKeys.contains(entry.getKey()) && end.isAfter(entry.getValue().position()));
		List<DirectoryRecord> decodedRecords = decodeAndStore(snapshot);
		logOutdated(decodedRecords);
		logChanges(this.targets.applySnapshot(decodedRecords, end, this.clock.nowMillis()));
		this.targetsLoaded = true;
		notifyIfComplete();
	}

	/**
	 * Applies records of targets that follow the snapshot.
	 * @param logRecords records in the order of the log
	 */
	public void applyTargets(List<KeyedRecord> logRecords) {
		List<DirectoryRecord> decodedRecords = decodeAndStore(logRecords);
		logOutdated(decodedRecords);
		logChanges(this.targets.apply(decodedRecords, this.clock.nowMillis()));
	}

	private void logOutdated(List<DirectoryRecord> logRecords) {
		for (DirectoryRecord outdated : this.targets.findOutdated(logRecords)) {
			this.log.write(LogEvent.RECORD_IGNORED, "target", outdated.id(), "position", outdated.position(), "state",
					stateName(outdated.entry().map(TargetEntry::state)));
		}
	}

	private void logChanges(List<TargetChange> targetChanges) {
		for (TargetChange change : targetChanges) {
			this.log.write(LogEvent.TARGET_CHANGED, "target", change.id(), "state", stateName(change.after()), "before",
					stateName(change.before()), "position", change.position());
		}
	}

	private static String stateName(Optional<TargetState> state) {
		return state.map(TargetState::name).orElse("NONE");
	}

	/**
	 * Records that a target has said in a response that it leaves.
	 * @param target the entry of the target at the time it was sent the request
	 */
	public void markLeaving(TargetEntry target) {
		if (this.targets.markLeaving(target)) {
			this.log.write(LogEvent.TARGET_CHANGED, "target", target.id(), "state", "NONE", "before", target.state(),
					"reason", "leaving");
		}
	}

	private void storeTargetRecord(KeyedRecord logRecord) {
		this.targetRecords.merge(logRecord.key(), logRecord,
				(stored, added) -> added.position().isAfter(stored.position()) ? added : stored);
		if (this.targetRecords.size() > MAX_TARGET_RECORDS) {
			LogPosition newest = targetsPosition();
			this.targetRecords.values()
				.removeIf((targetRecord) -> targetRecord.body().isEmpty()
						&& newest.plus(-MAX_TARGET_RECORDS).isAfter(targetRecord.position()));
		}
	}

	/**
	 * Applies records of targets that a peer relayed. The first records received this way
	 * mark the targets as loaded, so that a router that has never reached the log can
	 * serve calls.
	 * @param relayedRecords the records
	 */
	public void applyRelayedTargets(List<KeyedRecord> relayedRecords) {
		if (!relayedRecords.isEmpty()) {
			logChanges(this.targets.applyRelayed(decodeAndStore(relayedRecords), this.clock.nowMillis()));
			this.targetsLoaded = true;
			notifyIfComplete();
		}
	}

	/**
	 * Returns the records of targets after a position, to be relayed to a peer. Returns
	 * none while this router cannot tell whether a missing target was removed.
	 * @param position the position
	 * @return records in the order of the log
	 */
	public List<KeyedRecord> targetRecordsAfter(LogPosition position) {
		if (!areRemovalsReliable()) {
			return List.of();
		}
		return this.targetRecords.values()
			.stream()
			.filter((targetRecord) -> targetRecord.position().isAfter(position))
			.sorted(Comparator.comparing(KeyedRecord::position))
			.toList();
	}

	private LogPosition targetsPosition() {
		return this.targetRecords.values()
			.stream()
			.map(KeyedRecord::position)
			.max(Comparator.naturalOrder())
			.orElse(LogPosition.START);
	}

	/**
	 * Sets whether the log is unavailable.
	 * @param unavailable true if the log cannot be read
	 */
	public void setLogUnavailable(boolean unavailable) {
		if (unavailable && this.positionBeforeOutage.isEmpty()) {
			this.positionBeforeOutage = Optional.of(targetsPosition());
		}
		this.logUnavailable = unavailable;
		if (unavailable) {
			this.targets.markLogUnavailable();
		}
		else {
			this.targets.markLogAvailable(this.clock.nowMillis());
		}
	}

	/**
	 * Returns whether to request records of targets from peers. This is the case while
	 * routes or targets are not loaded, while the log cannot be read, and until a missing
	 * record proves again that its target was removed.
	 * @return true if peers may have newer records
	 */
	public boolean needsPeerRecords() {
		return !isComplete() || !areRemovalsReliable();
	}

	private boolean areRemovalsReliable() {
		return !this.logUnavailable && this.targets.canTrustRemovals(this.clock.nowMillis());
	}

	/**
	 * Returns the position after which peers are to send records of targets. While
	 * removals are not reliable, this is the newest position from before the outage of
	 * the log, because a snapshot read since then does not show which targets were
	 * removed in the meantime.
	 * @return the position
	 */
	public LogPosition peerRequestPosition() {
		return areRemovalsReliable() ? targetsPosition() : this.positionBeforeOutage.orElse(targetsPosition());
	}

	private List<DirectoryRecord> decodeAndStore(List<KeyedRecord> logRecords) {
		List<DirectoryRecord> decodedRecords = new ArrayList<>();
		for (KeyedRecord logRecord : logRecords) {
			if (logRecord.key().isEmpty()) {
				this.log.warn(LogEvent.RECORD_REJECTED, "key", "", "epoch", logRecord.position().epoch(), "offset",
						logRecord.position().offset(), "reason", "the record has no key");
				continue;
			}
			Optional<TargetEntry> entry = decodeTarget(logRecord);
			decodedRecords.add(new DirectoryRecord(new TargetId(logRecord.key()), logRecord.position(), entry));
			// A rejected record names no target, which is all that peers need to know.
			storeTargetRecord(entry.isPresent() ? logRecord
					: new KeyedRecord(logRecord.key(), logRecord.position(), Optional.empty()));
		}
		return decodedRecords;
	}

	private Optional<TargetEntry> decodeTarget(KeyedRecord logRecord) {
		return this.recordApplier.apply(logRecord,
				(body) -> Optional.of(this.decoder.decodeTarget(logRecord.key(), body)));
	}

	/**
	 * Removes targets that have been missing for longer than the grace period, and
	 * applies entries that were held back for long enough.
	 */
	public void expireTargets() {
		if (areRemovalsReliable()) {
			this.positionBeforeOutage = Optional.empty();
		}
		logChanges(this.targets.applyHeld(this.clock.nowMillis()));
		for (TargetId expiredTarget : this.targets.removeMissing(this.clock.nowMillis())) {
			this.log.write(LogEvent.TARGET_CHANGED, "target", expiredTarget, "state", "NONE", "reason", "missing");
		}
	}

	private void notifyIfComplete() {
		if (isComplete()) {
			this.onComplete.run();
		}
	}

	/**
	 * Returns whether calls can be routed.
	 * @return true once routes and targets are loaded
	 */
	public boolean isComplete() {
		return this.routes.isPresent() && this.targetsLoaded;
	}

	/**
	 * Returns the version of the routes in force.
	 * @return the version, -1 if no routes are loaded
	 */
	public long routesVersion() {
		return this.routes.map(RouteTable::version).orElse(-1L);
	}

	/**
	 * Returns the routes in force.
	 * @return the routes, or empty if no routes are loaded
	 */
	public Optional<RouteTable> routes() {
		return this.routes;
	}

	/**
	 * Returns the record of the routes in force, to be relayed to peers.
	 * @return the record, or empty if no routes are loaded
	 */
	public Optional<KeyedRecord> routesRecord() {
		return this.routesRecord;
	}

	/**
	 * Returns the directory of targets.
	 * @return the directory, which may only be used on the event loop
	 */
	public TargetDirectory targets() {
		return this.targets;
	}

}
