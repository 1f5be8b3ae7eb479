package org.mustardlane.core.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * trusted again, see {@link #removalsHold(long)}. Not thread-safe.
 */
public final class TargetDirectory {

	/**
	 * Maximum number of removal records kept. They prevent old records from adding
	 * removed targets again.
	 */
	private static final int MOST_REMOVALS = 1000;

	private final int graceMillis;

	private final Map<TargetId, DirectoryRecord> records = new HashMap<>();

	private final Set<TargetId> missing = new HashSet<>();

	private Map<PoolId, List<TargetEntry>> readyByPool = Map.of();

	private long removalsHoldAtMillis;

	private boolean logInTrouble;

	/**
	 * Creates an empty directory.
	 * @param graceMillis how long after the log has become available again removals are
	 * not trusted
	 */
	public TargetDirectory(int graceMillis) {
		this.graceMillis = graceMillis;
	}

	/**
	 * Applies records that were read from the log, in the order of the log.
	 * @param changes the records
	 * @param nowMillis the current time
	 * @return the targets whose state has changed
	 */
	public List<TargetChange> apply(List<DirectoryRecord> changes, long nowMillis) {
		return applyAll(changes, removalsHold(nowMillis));
	}

	/**
	 * Applies records relayed by a router that can read the log. Their removals are
	 * trusted even if this router cannot read the log.
	 * @param changes the records
	 * @return the targets whose state has changed
	 */
	public List<TargetChange> applyRelayed(List<DirectoryRecord> changes) {
		return applyAll(changes, true);
	}

	private List<TargetChange> applyAll(List<DirectoryRecord> changes, boolean removalsHold) {
		List<TargetChange> seen = new ArrayList<>();
		for (DirectoryRecord change : changes) {
			DirectoryRecord known = this.records.get(change.id());
			if (known != null && known.offset() >= change.offset()) {
				continue;
			}
			Optional<TargetState> before = state(known);
			take(change, removalsHold);
			Optional<TargetState> after = state(this.records.get(change.id()));
			if (!before.equals(after)) {
				seen.add(new TargetChange(change.id(), before, after));
			}
		}
		rebuild();
		return seen;
	}

	private static Optional<TargetState> state(DirectoryRecord known) {
		return Optional.ofNullable(known).flatMap(DirectoryRecord::entry).map(TargetEntry::state);
	}

	private void take(DirectoryRecord change, boolean removalsHold) {
		if (change.entry().isPresent()) {
			this.missing.remove(change.id());
			this.records.put(change.id(), change);
		}
		else if (removalsHold) {
			this.missing.remove(change.id());
			this.records.put(change.id(), change);
		}
		else {
			this.missing.add(change.id());
		}
	}

	/**
	 * Applies a complete listing of the log. Known targets that it does not contain count
	 * as removed.
	 * @param newest the newest record of each target
	 * @param endOffset end offset of the log when the listing was read
	 * @param nowMillis the current time
	 * @return the targets whose state has changed
	 */
	public List<TargetChange> replace(List<DirectoryRecord> newest, long endOffset, long nowMillis) {
		Set<TargetId> listed = new HashSet<>();
		newest.forEach((row) -> listed.add(row.id()));
		List<DirectoryRecord> changes = new ArrayList<>(newest);
		for (DirectoryRecord known : this.records.values()) {
			if (!listed.contains(known.id()) && known.offset() < endOffset - 1) {
				changes.add(new DirectoryRecord(known.id(), endOffset - 1, Optional.empty()));
			}
		}
		return apply(changes, nowMillis);
	}

	/**
	 * Records that the log cannot be read.
	 */
	public void logLost() {
		this.logInTrouble = true;
	}

	/**
	 * Records that the log can be read again, which starts the grace period.
	 * @param nowMillis the current time
	 */
	public void logRegained(long nowMillis) {
		if (this.logInTrouble) {
			this.logInTrouble = false;
			this.removalsHoldAtMillis = nowMillis + this.graceMillis;
		}
	}

	/**
	 * Removes targets whose entries are missing, once removals can be trusted.
	 * @param nowMillis the current time
	 * @return the ids of the removed targets
	 */
	public List<TargetId> review(long nowMillis) {
		if (this.missing.isEmpty() || !removalsHold(nowMillis)) {
			return List.of();
		}
		List<TargetId> removed = List.copyOf(this.missing);
		for (TargetId id : removed) {
			DirectoryRecord known = this.records.get(id);
			long offset = (known != null) ? known.offset() : 0;
			this.records.put(id, new DirectoryRecord(id, offset, Optional.empty()));
		}
		this.missing.clear();
		rebuild();
		return removed;
	}

	/**
	 * Returns whether removals can be trusted, so that a missing entry proves that its
	 * target is gone.
	 * @param nowMillis the current time
	 * @return false while the log is unavailable and during the grace period afterwards
	 */
	public boolean removalsHold(long nowMillis) {
		return !this.logInTrouble && nowMillis >= this.removalsHoldAtMillis;
	}

	private void forgetOldRemovals() {
		List<DirectoryRecord> removals = this.records.values()
			.stream()
			.filter((known) -> known.entry().isEmpty())
			.sorted(Comparator.comparingLong(DirectoryRecord::offset))
			.toList();
		int surplus = Math.max(0, removals.size() - MOST_REMOVALS);
		removals.subList(0, surplus).forEach((known) -> this.records.remove(known.id()));
	}

	private void rebuild() {
		if (this.records.size() > MOST_REMOVALS) {
			forgetOldRemovals();
		}
		Map<PoolId, List<TargetEntry>> grouped = new HashMap<>();
		for (DirectoryRecord known : this.records.values()) {
			known.entry()
				.filter(TargetEntry::isReady)
				.ifPresent((entry) -> grouped.computeIfAbsent(entry.pool(), (pool) -> new ArrayList<>()).add(entry));
		}
		this.readyByPool = grouped;
	}

	/**
	 * Returns the targets of a pool that accept new requests.
	 * @param pool the pool
	 * @return the targets, in no particular order
	 */
	public List<TargetEntry> ready(PoolId pool) {
		return this.readyByPool.getOrDefault(pool, List.of());
	}

	/**
	 * Returns whether a target still accepts new requests at the same port.
	 * @param target the entry of the target at the time it was chosen
	 * @return true if the target accepts new requests
	 */
	public boolean isReady(TargetEntry target) {
		DirectoryRecord known = this.records.get(target.id());
		return known != null
				&& known.entry().filter((entry) -> entry.isReady() && entry.port() == target.port()).isPresent();
	}

	/**
	 * Returns the targets that have not been removed.
	 * @return the ids of the targets
	 */
	public Set<TargetId> present() {
		Set<TargetId> present = new HashSet<>();
		this.records.values().forEach((known) -> known.entry().ifPresent((entry) -> present.add(entry.id())));
		return present;
	}

	/**
	 * Returns the number of targets that accept new requests.
	 * @return the number of targets in all pools
	 */
	public int readyCount() {
		return this.readyByPool.values().stream().mapToInt(List::size).sum();
	}

}
