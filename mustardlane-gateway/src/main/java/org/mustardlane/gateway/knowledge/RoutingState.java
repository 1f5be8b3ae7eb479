package org.mustardlane.gateway.knowledge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.mustardlane.core.directory.DirectoryRecord;
import org.mustardlane.core.directory.TargetChange;
import org.mustardlane.core.directory.TargetDirectory;
import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.directory.TargetState;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.route.RouteTable;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.wire.KnowledgeDecoder;
import org.mustardlane.gateway.wire.MalformedRecordException;

/**
 * The routes and targets as this router knows them.
 *
 * <p>
 * Routes never go back to a lower version, whoever tells of them. Confined to the event
 * loop of the daemon.
 */
public final class RoutingState {

	/**
	 * How long after the return of the log a missing entry proves nothing: targets write
	 * again within two seconds, and one read passes.
	 */
	private static final int REMOVAL_GRACE_MILLIS = 2500;

	/**
	 * Above this, old removals are no longer kept for other routers.
	 */
	private static final int MAX_TARGET_RECORDS = 10_000;

	private final KnowledgeDecoder decoder;

	private final DecisionLog log;

	private final MonotonicClock clock;

	private final TargetDirectory targets = new TargetDirectory(REMOVAL_GRACE_MILLIS);

	private Optional<RouteTable> routes = Optional.empty();

	private Optional<KeyedRecord> routesRecord = Optional.empty();

	private final Map<String, KeyedRecord> targetRecords = new HashMap<>();

	private final Runnable onComplete;

	private boolean targetsLoaded;

	private boolean logUnavailable;

	private OptionalLong offsetBeforeOutage = OptionalLong.empty();

	/**
	 * Creates knowledge of nothing.
	 * @param decoder decodes records
	 * @param log is told what changes
	 * @param clock the time
	 * @param onComplete is run once calls can be routed
	 */
	public RoutingState(KnowledgeDecoder decoder, DecisionLog log, MonotonicClock clock, Runnable onComplete) {
		this.decoder = decoder;
		this.log = log;
		this.clock = clock;
		this.onComplete = onComplete;
	}

	/**
	 * Takes a record that may hold routes.
	 * @param logRecord the record
	 * @param source who told of it
	 */
	public void applyRoutes(KeyedRecord logRecord, String source) {
		if (logRecord.body().isEmpty()) {
			return;
		}
		try {
			Optional<RouteTable> decodedRoutes = this.decoder.routes(logRecord.key(), logRecord.body().get());
			decodedRoutes.ifPresent((table) -> activateRoutes(table, logRecord, source));
		}
		catch (MalformedRecordException ex) {
			this.log.warn(LogEvent.RECORD_REJECTED, "key", logRecord.key(), "offset", logRecord.offset(), "reason",
					ex.getMessage());
		}
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
				table.routeCount(), "source", source);
	}

	/**
	 * Takes the newest records of all targets.
	 * @param snapshot the records
	 * @param endOffset end of the topic when they were read
	 */
	public void replaceTargets(List<KeyedRecord> snapshot, long endOffset) {
		this.targetsLoaded = true;
		Set<String> snapshotKeys = snapshot.stream().map(KeyedRecord::key).collect(Collectors.toSet());
		this.targetRecords.entrySet()
			.removeIf((entry) -> !snapshotKeys.contains(entry.getKey()) && entry.getValue().offset() < endOffset);
		storeTargetRecords(snapshot);
		notifyIfComplete();
		logChanges(this.targets.replace(decodeTargets(snapshot), endOffset, this.clock.nowMillis()));
	}

	/**
	 * Takes records of targets in order.
	 * @param logRecords the records
	 */
	public void applyTargets(List<KeyedRecord> logRecords) {
		storeTargetRecords(logRecords);
		logChanges(this.targets.apply(decodeTargets(logRecords), this.clock.nowMillis()));
	}

	private void logChanges(List<TargetChange> targetChanges) {
		for (TargetChange change : targetChanges) {
			this.log.write(LogEvent.TARGET_CHANGED, "target", change.id(), "state", stateName(change.after()), "before",
					stateName(change.before()));
		}
	}

	private static String stateName(Optional<TargetState> state) {
		return state.map(TargetState::name).orElse("NONE");
	}

	private void storeTargetRecords(List<KeyedRecord> logRecords) {
		for (KeyedRecord logRecord : logRecords) {
			this.targetRecords.merge(logRecord.key(), logRecord,
					(stored, added) -> (added.offset() > stored.offset()) ? added : stored);
		}
		if (this.targetRecords.size() > MAX_TARGET_RECORDS) {
			long newestOffset = targetsOffset();
			this.targetRecords.values()
				.removeIf((targetRecord) -> targetRecord.body().isEmpty()
						&& targetRecord.offset() < newestOffset - MAX_TARGET_RECORDS);
		}
	}

	/**
	 * Takes records of targets from a peer. A first set makes the targets known, so that
	 * a router that never reached the log can serve.
	 * @param relayedRecords the records
	 */
	public void applyRelayedTargets(List<KeyedRecord> relayedRecords) {
		if (!relayedRecords.isEmpty()) {
			this.targetsLoaded = true;
			notifyIfComplete();
			storeTargetRecords(relayedRecords);
			logChanges(this.targets.applyRelayed(decodeTargets(relayedRecords)));
		}
	}

	/**
	 * Returns the records of targets that are newer than an offset, to be passed on; none
	 * while this router itself can not tell a missing target from one that is gone.
	 * @param offset the offset
	 * @return the records in the order of the log
	 */
	public List<KeyedRecord> targetRecordsAfter(long offset) {
		if (!areRemovalsReliable()) {
			return List.of();
		}
		return this.targetRecords.values()
			.stream()
			.filter((targetRecord) -> targetRecord.offset() > offset)
			.sorted(Comparator.comparingLong(KeyedRecord::offset))
			.toList();
	}

	private long targetsOffset() {
		return this.targetRecords.values().stream().mapToLong(KeyedRecord::offset).max().orElse(-1);
	}

	/**
	 * Notes whether the log can be read.
	 * @param unavailable whether it can not
	 */
	public void setLogUnavailable(boolean unavailable) {
		if (unavailable && this.offsetBeforeOutage.isEmpty()) {
			this.offsetBeforeOutage = OptionalLong.of(targetsOffset());
		}
		this.logUnavailable = unavailable;
		if (unavailable) {
			this.targets.logLost();
		}
		else {
			this.targets.logRegained(this.clock.nowMillis());
		}
	}

	/**
	 * Tells whether another router may know more of the targets: this one does not know
	 * them, can not read the log, or can not tell yet whether a missing entry proves that
	 * its target is gone.
	 * @return true if it should ask
	 */
	public boolean needsPeerRecords() {
		return !isComplete() || !areRemovalsReliable();
	}

	private boolean areRemovalsReliable() {
		return !this.logUnavailable && this.targets.removalsHold(this.clock.nowMillis());
	}

	/**
	 * Returns the offset after which other routers are to tell of targets. While removals
	 * do not hold, that is where the log was lost: what has been listed since says
	 * nothing of targets that went meanwhile.
	 * @return the offset, -1 where no target is known
	 */
	public long peerRequestOffset() {
		return areRemovalsReliable() ? targetsOffset() : this.offsetBeforeOutage.orElse(targetsOffset());
	}

	private List<DirectoryRecord> decodeTargets(List<KeyedRecord> logRecords) {
		List<DirectoryRecord> decodedRecords = new ArrayList<>();
		for (KeyedRecord logRecord : logRecords) {
			if (!logRecord.key().isEmpty()) {
				decodedRecords.add(new DirectoryRecord(new TargetId(logRecord.key()), logRecord.offset(),
						decodeTarget(logRecord)));
			}
		}
		return decodedRecords;
	}

	private Optional<TargetEntry> decodeTarget(KeyedRecord logRecord) {
		if (logRecord.body().isEmpty()) {
			return Optional.empty();
		}
		try {
			return Optional.of(this.decoder.target(logRecord.key(), logRecord.body().get()));
		}
		catch (MalformedRecordException ex) {
			this.log.warn(LogEvent.RECORD_REJECTED, "key", logRecord.key(), "offset", logRecord.offset(), "reason",
					ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * Removes targets that have been missing for long enough.
	 */
	public void expireTargets() {
		if (areRemovalsReliable()) {
			this.offsetBeforeOutage = OptionalLong.empty();
		}
		for (TargetId expiredTarget : this.targets.review(this.clock.nowMillis())) {
			this.log.write(LogEvent.TARGET_CHANGED, "target", expiredTarget, "state", "NONE", "reason", "missing");
		}
	}

	private void notifyIfComplete() {
		if (isComplete()) {
			this.onComplete.run();
		}
	}

	/**
	 * Tells whether calls can be routed.
	 * @return true once routes and targets were read
	 */
	public boolean isComplete() {
		return this.routes.isPresent() && this.targetsLoaded;
	}

	/**
	 * Returns the version of the routes in force.
	 * @return the version, -1 where none is known
	 */
	public long routesVersion() {
		return this.routes.map(RouteTable::version).orElse(-1L);
	}

	/**
	 * Returns the routes in force.
	 * @return the routes, or empty where none are known
	 */
	public Optional<RouteTable> routes() {
		return this.routes;
	}

	/**
	 * Returns the record of the routes in force, to be passed on.
	 * @return the record, or empty where none is known
	 */
	public Optional<KeyedRecord> routesRecord() {
		return this.routesRecord;
	}

	/**
	 * Returns the targets.
	 * @return the directory, for use on the event loop only
	 */
	public TargetDirectory targets() {
		return this.targets;
	}

}
