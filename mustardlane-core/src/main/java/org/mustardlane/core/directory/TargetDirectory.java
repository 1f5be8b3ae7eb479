package org.mustardlane.core.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

/**
 * All known targets, built from the records of the log.
 *
 * <p>
 * A record is ignored if a newer one of the same target is known. While the log is
 * unavailable, and for a grace period afterwards, a missing entry does not prove that its
 * target is gone. Targets with missing entries are then kept until removals can be
 * trusted again, see {@link #canTrustRemovals(long)}.
 *
 * <p>
 * A log that was restored from an older copy first states entries from before changes
 * that are already known: a draining target counts as ready there, a removed one as
 * present. Such an entry is held back until the target publishes a newer one, the log
 * removes it, or so much time has passed that the log would have removed it if its target
 * were gone. Not thread-safe.
 */
public final class TargetDirectory {

	private static final long UNKNOWN_START_MILLIS = 0;

	/**
	 * Maximum number of removal records kept. They prevent old records from adding
	 * removed targets again.
	 */
	private static final int MAX_REMOVALS = 1000;

	/**
	 * Time after a restoration of the log by which it has removed the entries of targets
	 * that no longer renew them: three of their heartbeats and some reserve.
	 */
	private static final int COPIED_ENTRY_EXPIRY_MILLIS = 8000;

	private final int gracePeriodMillis;

	private final Map<TargetId, DirectoryRecord> records = new HashMap<>();

	private final Map<TargetId, TargetEntry> lastEntries = new HashMap<>();

	private final Map<TargetId, DirectoryRecord> heldRecords = new HashMap<>();

	private final Set<TargetId> missingTargets = new HashSet<>();

	/**
	 * Start time of each target that has said that it leaves.
	 */
	private final Map<TargetId, Long> startsOfLeavingTargets = new LinkedHashMap<>();

	private Map<PoolId, List<TargetEntry>> readyByPool = Map.of();

	private Map<PoolId, Set<String>> softwareVersions = Map.of();

	private OptionalLong epoch = OptionalLong.empty();

	private long copiedEntriesExpiredMillis;

	private long gracePeriodEndMillis;

	private boolean logUnavailable;

	/**
	 * Creates an empty directory.
	 * @param gracePeriodMillis how long after the log has become available again removals
	 * are not trusted
	 */
	public TargetDirectory(int gracePeriodMillis) {
		this.gracePeriodMillis = gracePeriodMillis;
	}

	/**
	 * Applies records that were read from the log, in the order of the log.
	 * @param changes the records
	 * @param nowMillis the current time
	 * @return the targets whose state has changed
	 */
	public List<TargetChange> apply(List<DirectoryRecord> changes, long nowMillis) {
		changes.forEach((change) -> noticeEpoch(change.position(), nowMillis));
		return applyRecords(changes, canTrustRemovals(nowMillis));
	}

	/**
	 * Applies records relayed by a router that can read the log. Their removals are
	 * trusted even if this router cannot read the log.
	 * @param changes the records
	 * @param nowMillis the current time
	 * @return the targets whose state has changed
	 */
	public List<TargetChange> applyRelayed(List<DirectoryRecord> changes, long nowMillis) {
		changes.forEach((change) -> noticeEpoch(change.position(), nowMillis));
		return applyRecords(changes, true);
	}

	private void noticeEpoch(LogPosition position, long nowMillis) {
		boolean isRestored = this.epoch.isPresent() && position.epoch() > this.epoch.getAsLong();
		if (isRestored) {
			this.gracePeriodEndMillis = nowMillis + this.gracePeriodMillis;
			this.copiedEntriesExpiredMillis = nowMillis + COPIED_ENTRY_EXPIRY_MILLIS;
		}
		if (isRestored || this.epoch.isEmpty()) {
			this.epoch = OptionalLong.of(position.epoch());
		}
	}

	private List<TargetChange> applyRecords(List<DirectoryRecord> changes, boolean trustRemovals) {
		List<TargetChange> targetChanges = new ArrayList<>();
		boolean entriesChanged = false;
		for (DirectoryRecord change : changes) {
			DirectoryRecord knownRecord = this.records.get(change.id());
			if (isOutdated(change, knownRecord)) {
				hold(change, knownRecord);
				continue;
			}
			this.heldRecords.remove(change.id());
			Optional<TargetState> before = state(knownRecord);
			Optional<TargetEntry> entryBefore = entry(knownRecord);
			store(change, trustRemovals);
			Optional<TargetState> after = state(this.records.get(change.id()));
			entriesChanged |= !entryBefore.equals(entry(this.records.get(change.id())));
			if (!before.equals(after)) {
				targetChanges.add(new TargetChange(change.id(), before, after, change.position()));
			}
		}
		if (entriesChanged) {
			rebuildReadyTargets();
		}
		return targetChanges;
	}

	private boolean isOutdated(DirectoryRecord change, DirectoryRecord knownRecord) {
		return knownRecord != null
				&& (!change.position().isAfter(knownRecord.position()) || isOlderCopy(change, knownRecord));
	}

	private boolean isOlderCopy(DirectoryRecord change, DirectoryRecord knownRecord) {
		TargetEntry lastEntry = this.lastEntries.get(change.id());
		if (lastEntry == null || change.entry().isEmpty()
				|| change.position().epoch() == knownRecord.position().epoch()) {
			return false;
		}
		boolean isRemoved = knownRecord.entry().isEmpty();
		return isRemoved ? !change.entry().get().isNewerThan(lastEntry) : lastEntry.isNewerThan(change.entry().get());
	}

	private void hold(DirectoryRecord change, DirectoryRecord knownRecord) {
		if (change.position().isAfter(knownRecord.position())) {
			this.heldRecords.put(change.id(), change);
			this.missingTargets.remove(change.id());
		}
	}

	/**
	 * Returns the records that would be ignored although they state something else than
	 * the newer known ones.
	 * @param changes records that were read from the log
	 * @return the records to be ignored
	 */
	public List<DirectoryRecord> findOutdated(List<DirectoryRecord> changes) {
		return changes.stream().filter((change) -> {
			DirectoryRecord knownRecord = this.records.get(change.id());
			return isOutdated(change, knownRecord) && !state(knownRecord).equals(state(change));
		}).toList();
	}

	private static Optional<TargetEntry> entry(DirectoryRecord directoryRecord) {
		return Optional.ofNullable(directoryRecord).flatMap(DirectoryRecord::entry);
	}

	private static Optional<TargetState> state(DirectoryRecord directoryRecord) {
		return Optional.ofNullable(directoryRecord).flatMap(DirectoryRecord::entry).map(TargetEntry::state);
	}

	private void store(DirectoryRecord change, boolean trustRemovals) {
		if (change.entry().isEmpty() && trustRemovals) {
			// What comes under this id without a start time is another start.
			this.startsOfLeavingTargets.remove(change.id(), UNKNOWN_START_MILLIS);
		}
		change.entry().ifPresent((entry) -> this.lastEntries.put(change.id(), entry));
		if (change.entry().isPresent() || trustRemovals) {
			this.missingTargets.remove(change.id());
			this.records.put(change.id(), change);
		}
		else {
			this.missingTargets.add(change.id());
		}
	}

	/**
	 * Applies a snapshot of the log. Known targets that the snapshot does not contain
	 * count as removed.
	 * @param newestRecords the newest record of each target
	 * @param end end of the log when the snapshot was read
	 * @param nowMillis the current time
	 * @return the targets whose state has changed
	 */
	public List<TargetChange> applySnapshot(List<DirectoryRecord> newestRecords, LogPosition end, long nowMillis) {
		Set<TargetId> listedTargets = new HashSet<>();
		newestRecords.forEach((listedRecord) -> listedTargets.add(listedRecord.id()));
		noticeEpoch(end, nowMillis);
		List<DirectoryRecord> changes = new ArrayList<>(newestRecords);
		for (DirectoryRecord knownRecord : this.records.values()) {
			if (!listedTargets.contains(knownRecord.id()) && end.plus(-1).isAfter(knownRecord.position())) {
				changes.add(new DirectoryRecord(knownRecord.id(), end.plus(-1), Optional.empty()));
			}
		}
		return apply(changes, nowMillis);
	}

	/**
	 * Records that a target has said itself that it leaves. It does not count as ready
	 * any more, whatever its entry states, until it starts again.
	 * @param target the entry of the target at the time it was sent a request
	 * @return whether this is news
	 */
	public boolean markLeaving(TargetEntry target) {
		Long knownStart = this.startsOfLeavingTargets.get(target.id());
		if (knownStart != null && knownStart >= target.startedAtMillis()) {
			return false;
		}
		this.startsOfLeavingTargets.put(target.id(), target.startedAtMillis());
		if (this.startsOfLeavingTargets.size() > MAX_REMOVALS) {
			this.startsOfLeavingTargets.remove(this.startsOfLeavingTargets.keySet().iterator().next());
		}
		rebuildReadyTargets();
		return true;
	}

	private boolean acceptsRequests(TargetEntry entry) {
		Long leavingStart = this.startsOfLeavingTargets.get(entry.id());
		return entry.isReady() && (leavingStart == null || leavingStart < entry.startedAtMillis());
	}

	/**
	 * Records that the log cannot be read.
	 */
	public void markLogUnavailable() {
		this.logUnavailable = true;
	}

	/**
	 * Records that the log can be read again, which starts the grace period.
	 * @param nowMillis the current time
	 */
	public void markLogAvailable(long nowMillis) {
		if (this.logUnavailable) {
			this.logUnavailable = false;
			this.gracePeriodEndMillis = nowMillis + this.gracePeriodMillis;
		}
	}

	/**
	 * Removes targets whose entries are missing, once removals can be trusted.
	 * @param nowMillis the current time
	 * @return the ids of the removed targets
	 */
	public List<TargetId> removeMissing(long nowMillis) {
		if (this.missingTargets.isEmpty() || !canTrustRemovals(nowMillis)) {
			return List.of();
		}
		List<TargetId> removedTargets = List.copyOf(this.missingTargets);
		for (TargetId id : removedTargets) {
			DirectoryRecord knownRecord = this.records.get(id);
			LogPosition position = (knownRecord != null) ? knownRecord.position() : LogPosition.START;
			this.records.put(id, new DirectoryRecord(id, position, Optional.empty()));
		}
		this.missingTargets.clear();
		rebuildReadyTargets();
		return removedTargets;
	}

	/**
	 * Applies the entries that were held back after a restoration of the log, once they
	 * would have been removed if their targets were gone.
	 * @param nowMillis the current time
	 * @return the targets whose state has changed
	 */
	public List<TargetChange> applyHeld(long nowMillis) {
		if (this.heldRecords.isEmpty() || nowMillis < this.copiedEntriesExpiredMillis) {
			return List.of();
		}
		List<DirectoryRecord> held = List.copyOf(this.heldRecords.values());
		this.heldRecords.clear();
		held.forEach((heldRecord) -> this.lastEntries.remove(heldRecord.id()));
		return applyRecords(held, true);
	}

	/**
	 * Returns whether removals can be trusted, so that a missing entry proves that its
	 * target is gone.
	 * @param nowMillis the current time
	 * @return false while the log is unavailable and during the grace period afterwards
	 */
	public boolean canTrustRemovals(long nowMillis) {
		return !this.logUnavailable && nowMillis >= this.gracePeriodEndMillis;
	}

	private void discardOldRemovals() {
		List<DirectoryRecord> removals = this.records.values()
			.stream()
			.filter((knownRecord) -> knownRecord.entry().isEmpty())
			.sorted(Comparator.comparing(DirectoryRecord::position))
			.toList();
		int excessCount = Math.max(0, removals.size() - MAX_REMOVALS);
		removals.subList(0, excessCount).forEach((knownRecord) -> {
			this.records.remove(knownRecord.id());
			this.lastEntries.remove(knownRecord.id());
		});
	}

	private void rebuildReadyTargets() {
		if (this.records.size() > MAX_REMOVALS) {
			discardOldRemovals();
		}
		Map<PoolId, List<TargetEntry>> entriesByPool = new HashMap<>();
		Map<PoolId, Set<String>> versionsByPool = new HashMap<>();
		for (DirectoryRecord knownRecord : this.records.values()) {
			knownRecord.entry()
				.ifPresent((entry) -> versionsByPool.computeIfAbsent(entry.pool(), (pool) -> new HashSet<>())
					.add(entry.softwareVersion()));
			knownRecord.entry()
				.filter(this::acceptsRequests)
				.ifPresent(
						(entry) -> entriesByPool.computeIfAbsent(entry.pool(), (pool) -> new ArrayList<>()).add(entry));
		}
		this.readyByPool = entriesByPool;
		this.softwareVersions = versionsByPool;
	}

	/**
	 * Returns the software versions of all targets that have not been removed, whether
	 * they accept new requests or not.
	 * @return the versions by pool
	 */
	public Map<PoolId, Set<String>> softwareVersions() {
		return this.softwareVersions;
	}

	/**
	 * Returns the targets of a pool that accept new requests.
	 * @param pool the pool
	 * @return the targets, in no particular order
	 */
	public List<TargetEntry> readyTargets(PoolId pool) {
		return this.readyByPool.getOrDefault(pool, List.of());
	}

	/**
	 * Finds a target that has not been removed.
	 * @param target id of the target
	 * @return its entry, or empty if it is not known or was removed
	 */
	public Optional<TargetEntry> find(TargetId target) {
		return Optional.ofNullable(this.records.get(target)).flatMap(DirectoryRecord::entry);
	}

	/**
	 * Returns whether a target still accepts new requests at the same port.
	 * @param target the entry of the target at the time it was chosen
	 * @return true if the target accepts new requests
	 */
	public boolean isReady(TargetEntry target) {
		DirectoryRecord knownRecord = this.records.get(target.id());
		return knownRecord != null && knownRecord.entry()
			.filter((entry) -> acceptsRequests(entry) && entry.port() == target.port())
			.isPresent();
	}

	/**
	 * Returns the targets that have not been removed.
	 * @return the ids of the targets
	 */
	public Set<TargetId> targetIds() {
		Set<TargetId> presentTargets = new HashSet<>();
		this.records.values()
			.forEach((knownRecord) -> knownRecord.entry().ifPresent((entry) -> presentTargets.add(entry.id())));
		return presentTargets;
	}

	/**
	 * Returns the number of targets that accept new requests.
	 * @return the number of targets in all pools
	 */
	public int readyCount() {
		return this.readyByPool.values().stream().mapToInt(List::size).sum();
	}

}
