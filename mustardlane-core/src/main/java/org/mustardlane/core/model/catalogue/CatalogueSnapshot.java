package org.mustardlane.core.model.catalogue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;

/**
 * An immutable view of the catalogue at one revision.
 *
 * <p>
 * Immutable and thread-safe.
 */
public final class CatalogueSnapshot {

	/**
	 * Number of targets of a pool in one failure domain above which they are split into
	 * several shards. Targets are assigned by hash, so a shard may have more.
	 */
	public static final int MAX_TARGETS_PER_SHARD = 16;

	/**
	 * The catalogue before the first change.
	 */
	public static final CatalogueSnapshot EMPTY = new CatalogueSnapshot(0, Map.of(), Map.of(), Map.of());

	private final long revision;

	private final Map<EntryName, CatalogueEntry> entries;

	private final Map<OrganisationId, Organisation> organisations;

	private final Map<TargetId, Target> targets;

	private final Map<ShardId, List<Target>> shards;

	private final Map<TargetId, ShardId> shardByTarget;

	/**
	 * Creates a snapshot.
	 * @param revision log offset of the newest included change, 0 before the first change
	 * @param entries the entries by name
	 * @param organisations the organisations by name
	 * @param targets the targets by name
	 */
	public CatalogueSnapshot(long revision, Map<EntryName, CatalogueEntry> entries,
			Map<OrganisationId, Organisation> organisations, Map<TargetId, Target> targets) {
		this.revision = revision;
		this.entries = Map.copyOf(entries);
		this.organisations = Map.copyOf(organisations);
		this.targets = Map.copyOf(targets);
		this.shards = splitIntoShards(this.targets.values());
		this.shardByTarget = this.shards.entrySet()
			.stream()
			.flatMap((shard) -> shard.getValue().stream().map((target) -> Map.entry(target.id(), shard.getKey())))
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
	}

	private static Map<ShardId, List<Target>> splitIntoShards(Collection<Target> targets) {
		Map<ShardId, List<Target>> targetsByDomain = new TreeMap<>(targets.stream()
			.collect(Collectors.groupingBy((target) -> new ShardId(target.pool(), target.domain(), 0))));
		Map<ShardId, List<Target>> shards = new TreeMap<>();
		targetsByDomain.forEach((shard, members) -> {
			int count = (members.size() + MAX_TARGETS_PER_SHARD - 1) / MAX_TARGETS_PER_SHARD;
			members.forEach((target) -> {
				int index = (int) Long.remainderUnsigned(RendezvousHash.hash(target.id().value()), count);
				ShardId splitShard = new ShardId(shard.pool(), shard.domain(), index);
				shards.computeIfAbsent(splitShard, (key) -> new ArrayList<>()).add(target);
			});
		});
		shards.replaceAll((shard, members) -> List.copyOf(members));
		return Map.copyOf(shards);
	}

	/**
	 * Returns the log offset of the newest change in this snapshot.
	 * @return the revision, 0 before the first change
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the entries by name.
	 * @return the entries
	 */
	public Map<EntryName, CatalogueEntry> entries() {
		return this.entries;
	}

	/**
	 * Returns the organisations by name.
	 * @return the organisations
	 */
	public Map<OrganisationId, Organisation> organisations() {
		return this.organisations;
	}

	/**
	 * Returns the targets by name.
	 * @return the targets
	 */
	public Map<TargetId, Target> targets() {
		return this.targets;
	}

	/**
	 * Returns the targets of each shard.
	 * @return the shards that have a target
	 */
	public Map<ShardId, List<Target>> shards() {
		return this.shards;
	}

	/**
	 * Returns the shard of each target.
	 * @return the shards by target
	 */
	public Map<TargetId, ShardId> shardByTarget() {
		return this.shardByTarget;
	}

}
