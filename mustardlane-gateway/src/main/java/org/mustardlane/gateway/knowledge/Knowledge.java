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
public final class Knowledge {

	/**
	 * How long after the return of the log a missing entry proves nothing: targets write
	 * again within two seconds, and one read passes.
	 */
	private static final int REMOVAL_GRACE_MILLIS = 2500;

	/**
	 * Above this, old removals are no longer kept for other routers.
	 */
	private static final int MOST_TARGET_RECORDS = 10_000;

	private final KnowledgeDecoder decoder;

	private final DecisionLog log;

	private final SteadyClock clock;

	private final TargetDirectory targets = new TargetDirectory(REMOVAL_GRACE_MILLIS);

	private Optional<RouteTable> routes = Optional.empty();

	private Optional<KeyedRecord> routesRecord = Optional.empty();

	private final Map<String, KeyedRecord> targetRecords = new HashMap<>();

	private final Runnable onComplete;

	private boolean targetsListed;

	private boolean logLost;

	private OptionalLong believedOffset = OptionalLong.empty();

	/**
	 * Creates knowledge of nothing.
	 * @param decoder decodes records
	 * @param log is told what changes
	 * @param clock the time
	 * @param onComplete is run once calls can be routed
	 */
	public Knowledge(KnowledgeDecoder decoder, DecisionLog log, SteadyClock clock, Runnable onComplete) {
		this.decoder = decoder;
		this.log = log;
		this.clock = clock;
		this.onComplete = onComplete;
	}

	/**
	 * Takes a record that may hold routes.
	 * @param update the record
	 * @param source who told of it
	 */
	public void takeRoutes(KeyedRecord update, String source) {
		if (update.body().isEmpty()) {
			return;
		}
		try {
			Optional<RouteTable> decoded = this.decoder.routes(update.key(), update.body().get());
			decoded.ifPresent((table) -> putInForce(table, update, source));
		}
		catch (MalformedRecordException ex) {
			this.log.warn(LogEvent.RECORD_REJECTED, "key", update.key(), "offset", update.offset(), "reason",
					ex.getMessage());
		}
	}

	private void putInForce(RouteTable table, KeyedRecord update, String source) {
		long known = routesVersion();
		if (table.version() <= known) {
			return;
		}
		this.routes = Optional.of(table);
		this.routesRecord = Optional.of(update);
		tellIfComplete();
		this.log.write(LogEvent.ROUTES_CHANGED, "version", table.version(), "before", known, "routes",
				table.routeCount(), "source", source);
	}

	/**
	 * Takes the newest records of all targets.
	 * @param newest the records
	 * @param endOffset end of the topic when they were read
	 */
	public void listTargets(List<KeyedRecord> newest, long endOffset) {
		this.targetsListed = true;
		Set<String> listed = newest.stream().map(KeyedRecord::key).collect(Collectors.toSet());
		this.targetRecords.entrySet()
			.removeIf((row) -> !listed.contains(row.getKey()) && row.getValue().offset() < endOffset);
		keep(newest);
		tellIfComplete();
		logChanges(this.targets.replace(decodeTargets(newest), endOffset, this.clock.nowMillis()));
	}

	/**
	 * Takes records of targets in order.
	 * @param changes the records
	 */
	public void takeTargets(List<KeyedRecord> changes) {
		keep(changes);
		logChanges(this.targets.apply(decodeTargets(changes), this.clock.nowMillis()));
	}

	private void logChanges(List<TargetChange> changes) {
		for (TargetChange change : changes) {
			this.log.write(LogEvent.TARGET_CHANGED, "target", change.id(), "state", text(change.after()), "before",
					text(change.before()));
		}
	}

	private static String text(Optional<TargetState> state) {
		return state.map(TargetState::name).orElse("NONE");
	}

	private void keep(List<KeyedRecord> updates) {
		for (KeyedRecord update : updates) {
			this.targetRecords.merge(update.key(), update,
					(known, newer) -> (newer.offset() > known.offset()) ? newer : known);
		}
		if (this.targetRecords.size() > MOST_TARGET_RECORDS) {
			long newest = targetsOffset();
			this.targetRecords.values()
				.removeIf((known) -> known.body().isEmpty() && known.offset() < newest - MOST_TARGET_RECORDS);
		}
	}

	/**
	 * Takes records of targets from a peer. A first set makes the targets known, so that
	 * a router that never reached the log can serve.
	 * @param relayed the records
	 */
	public void takeRelayedTargets(List<KeyedRecord> relayed) {
		if (!relayed.isEmpty()) {
			this.targetsListed = true;
			tellIfComplete();
			keep(relayed);
			logChanges(this.targets.applyRelayed(decodeTargets(relayed)));
		}
	}

	/**
	 * Returns the records of targets that are newer than an offset, to be passed on; none
	 * while this router itself can not tell a missing target from one that is gone.
	 * @param offset the offset
	 * @return the records in the order of the log
	 */
	public List<KeyedRecord> targetRecordsAfter(long offset) {
		if (!removalsHold()) {
			return List.of();
		}
		return this.targetRecords.values()
			.stream()
			.filter((known) -> known.offset() > offset)
			.sorted(Comparator.comparingLong(KeyedRecord::offset))
			.toList();
	}

	private long targetsOffset() {
		return this.targetRecords.values().stream().mapToLong(KeyedRecord::offset).max().orElse(-1);
	}

	/**
	 * Notes whether the log can be read.
	 * @param lost whether it can not
	 */
	public void setLogLost(boolean lost) {
		if (lost && this.believedOffset.isEmpty()) {
			this.believedOffset = OptionalLong.of(targetsOffset());
		}
		this.logLost = lost;
		if (lost) {
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
	public boolean needsTargets() {
		return !isComplete() || !removalsHold();
	}

	private boolean removalsHold() {
		return !this.logLost && this.targets.removalsHold(this.clock.nowMillis());
	}

	/**
	 * Returns the offset after which other routers are to tell of targets. While removals
	 * do not hold, that is where the log was lost: what has been listed since says
	 * nothing of targets that went meanwhile.
	 * @return the offset, -1 where no target is known
	 */
	public long askAfterOffset() {
		return removalsHold() ? targetsOffset() : this.believedOffset.orElse(targetsOffset());
	}

	private List<DirectoryRecord> decodeTargets(List<KeyedRecord> rows) {
		List<DirectoryRecord> decoded = new ArrayList<>();
		for (KeyedRecord row : rows) {
			if (!row.key().isEmpty()) {
				decoded.add(new DirectoryRecord(new TargetId(row.key()), row.offset(), decodeTarget(row)));
			}
		}
		return decoded;
	}

	private Optional<TargetEntry> decodeTarget(KeyedRecord row) {
		if (row.body().isEmpty()) {
			return Optional.empty();
		}
		try {
			return Optional.of(this.decoder.target(row.key(), row.body().get()));
		}
		catch (MalformedRecordException ex) {
			this.log.warn(LogEvent.RECORD_REJECTED, "key", row.key(), "offset", row.offset(), "reason",
					ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * Removes targets that have been missing for long enough.
	 */
	public void review() {
		if (removalsHold()) {
			this.believedOffset = OptionalLong.empty();
		}
		for (TargetId gone : this.targets.review(this.clock.nowMillis())) {
			this.log.write(LogEvent.TARGET_CHANGED, "target", gone, "state", "NONE", "reason", "missing");
		}
	}

	private void tellIfComplete() {
		if (isComplete()) {
			this.onComplete.run();
		}
	}

	/**
	 * Tells whether calls can be routed.
	 * @return true once routes and targets were read
	 */
	public boolean isComplete() {
		return this.routes.isPresent() && this.targetsListed;
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
