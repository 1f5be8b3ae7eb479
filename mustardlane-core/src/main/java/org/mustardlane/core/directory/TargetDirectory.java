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
 * All targets that are known, folded from records.
 *
 * <p>
 * A record that is older than what is known of its target is left out. While the log is
 * in trouble, and for a while after, a missing entry proves nothing: targets whose
 * entries are missing stay until {@link #removalsHold(long)}. Not thread-safe.
 */
public final class TargetDirectory {

	/**
	 * Removals that are remembered, so that an old record does not bring a target back.
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
	 * @param graceMillis how long after the return of the log a missing entry proves
	 * nothing
	 */
	public TargetDirectory(int graceMillis) {
		this.graceMillis = graceMillis;
	}

	/**
	 * Takes changes in the order of the log.
	 * @param changes the records
	 * @param nowMillis the time
	 * @return the targets whose state has changed
	 */
	public List<TargetChange> apply(List<DirectoryRecord> changes, long nowMillis) {
		return applyAll(changes, removalsHold(nowMillis));
	}

	/**
	 * Takes changes that a router passed on which reads the log: its removals hold
	 * although this router does not read the log itself.
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
	 * Takes the newest record of each target; targets without one are gone.
	 * @param newest the records
	 * @param endOffset end of the log when they were read
	 * @param nowMillis the time
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
	 * Notes that the log can not be read.
	 */
	public void logLost() {
		this.logInTrouble = true;
	}

	/**
	 * Notes that the log can be read again.
	 * @param nowMillis the time
	 */
	public void logRegained(long nowMillis) {
		if (this.logInTrouble) {
			this.logInTrouble = false;
			this.removalsHoldAtMillis = nowMillis + this.graceMillis;
		}
	}

	/**
	 * Removes targets whose entries are still missing once that proves something.
	 * @param nowMillis the time
	 * @return the names of the removed targets
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
	 * Tells whether a missing entry proves that its target is gone.
	 * @param nowMillis the time
	 * @return false while the log is in trouble and for a while after
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
	 * Returns the targets of a pool that take new work.
	 * @param pool the pool
	 * @return the targets, in no order
	 */
	public List<TargetEntry> ready(PoolId pool) {
		return this.readyByPool.getOrDefault(pool, List.of());
	}

	/**
	 * Tells whether a target still takes new work.
	 * @param target the target as it was when it was chosen
	 * @return true if it does
	 */
	public boolean isReady(TargetEntry target) {
		DirectoryRecord known = this.records.get(target.id());
		return known != null
				&& known.entry().filter((entry) -> entry.isReady() && entry.port() == target.port()).isPresent();
	}

	/**
	 * Returns the targets that are not gone.
	 * @return their names
	 */
	public Set<TargetId> present() {
		Set<TargetId> present = new HashSet<>();
		this.records.values().forEach((known) -> known.entry().ifPresent((entry) -> present.add(entry.id())));
		return present;
	}

	/**
	 * Counts the targets that take new work.
	 * @return the number over all pools
	 */
	public int readyCount() {
		return this.readyByPool.values().stream().mapToInt(List::size).sum();
	}

}
