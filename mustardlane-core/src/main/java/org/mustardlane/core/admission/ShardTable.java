package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;
import org.mustardlane.core.model.membership.VmEntry;
import org.mustardlane.core.model.membership.VmList;
import org.mustardlane.core.model.membership.VmState;

/**
 * Holds the shards that this router owns or recently owned, according to the latest
 * catalogue, ownership and VM list.
 *
 * <p>
 * Not thread-safe; guarded by the lock of {@link AdmissionHandler}.
 */
final class ShardTable {

	private static final int PERCENT = 100;

	private static final int DEFAULT_LOAD_BOUND_PERCENT = 125;

	private final AdmissionSettings settings;

	private final Supplier<RequestQueue> queueFactory;

	private final Map<ShardId, Shard> shards = new LinkedHashMap<>();

	private final Map<PoolId, PoolLoad> pools = new HashMap<>();

	private CatalogueSnapshot catalogue = CatalogueSnapshot.EMPTY;

	private Optional<Ownership> ownership = Optional.empty();

	private VmList vmList = new VmList(0, List.of());

	ShardTable(AdmissionSettings settings, Supplier<RequestQueue> queueFactory) {
		this.settings = settings;
		this.queueFactory = queueFactory;
	}

	CatalogueSnapshot catalogue() {
		return this.catalogue;
	}

	PoolLoad pool(PoolId pool) {
		return this.pools.computeIfAbsent(pool, (key) -> new PoolLoad());
	}

	Collection<PoolLoad> pools() {
		return this.pools.values();
	}

	/**
	 * Finds a shard that this router owns.
	 * @param shard the ID of the shard
	 * @return the shard, or empty if this router does not own it
	 */
	Optional<Shard> findOwned(ShardId shard) {
		return find(shard).filter(Shard::isOwned);
	}

	/**
	 * Finds a shard that this router owns or recently owned.
	 * @param shard the ID of the shard
	 * @return the shard, or empty if it is not in the table
	 */
	Optional<Shard> find(ShardId shard) {
		return Optional.ofNullable(this.shards.get(shard));
	}

	List<Shard> allShards() {
		return List.copyOf(this.shards.values());
	}

	Optional<Shard> ownedShardOf(TargetId target) {
		return Optional.ofNullable(this.catalogue.shardByTarget().get(target)).flatMap(this::findOwned);
	}

	List<Shard> ownedShards() {
		return this.shards.values().stream().filter(Shard::isOwned).toList();
	}

	/**
	 * Applies a new catalogue.
	 * @param snapshot the catalogue
	 * @param nowMillis the current time in milliseconds
	 * @return the shards that this router no longer owns
	 */
	List<Shard> update(CatalogueSnapshot snapshot, long nowMillis) {
		this.catalogue = snapshot;
		return refresh(nowMillis);
	}

	/**
	 * Applies a new ownership.
	 * @param newOwnership the live routers and the shards they own
	 * @param nowMillis the current time in milliseconds
	 * @return the shards that this router no longer owns
	 */
	List<Shard> update(Ownership newOwnership, long nowMillis) {
		this.ownership = Optional.of(newOwnership);
		return refresh(nowMillis);
	}

	void update(VmList newList, long nowMillis) {
		this.vmList = newList;
		ownedShards().forEach((shard) -> applyVmList(shard, nowMillis));
	}

	private List<Shard> refresh(long nowMillis) {
		Set<ShardId> ownedIds = new HashSet<>();
		this.ownership.ifPresent((currentOwnership) -> this.catalogue.shards()
			.keySet()
			.stream()
			.filter((shard) -> currentOwnership.shardOwner(shard).filter(currentOwnership.self()::equals).isPresent())
			.forEach(ownedIds::add));
		List<Shard> lostShards = ownedShards().stream().filter((shard) -> !ownedIds.contains(shard.id())).toList();
		lostShards.forEach((shard) -> shard.setOwned(false));
		ownedIds.stream().sorted().forEach((shard) -> takeOwnership(shard, nowMillis));
		refreshPools();
		return lostShards;
	}

	private void takeOwnership(ShardId id, long nowMillis) {
		Shard shard = this.shards.computeIfAbsent(id,
				(key) -> new Shard(key, pool(key.pool()), this.queueFactory.get()));
		List<TargetSlots> addedTargets = shard.setTargets(this.catalogue.shards().get(id));
		Collection<TargetSlots> warmingUp = shard.isOwned() ? addedTargets : shard.targets();
		warmingUp.forEach((slots) -> slots.startWarmUp(nowMillis + this.settings.warmUpMillis(), nowMillis));
		shard.setOwned(true);
		applyVmList(shard, nowMillis);
	}

	private void refreshPools() {
		Map<PoolId, Set<VmId>> peersByPool = new HashMap<>();
		this.ownership.ifPresent((currentOwnership) -> this.catalogue.shards().keySet().forEach((shard) -> {
			Set<VmId> peers = peersByPool.computeIfAbsent(shard.pool(), (pool) -> new HashSet<>());
			currentOwnership.shardOwner(shard)
				.filter((owner) -> !owner.equals(currentOwnership.self()))
				.ifPresent(peers::add);
		}));
		Map<PoolId, List<Shard>> ownedByPool = new HashMap<>();
		ownedShards()
			.forEach((shard) -> ownedByPool.computeIfAbsent(shard.id().pool(), (pool) -> new ArrayList<>()).add(shard));
		peersByPool.keySet().forEach(this::pool);
		this.pools.forEach((pool, load) -> {
			load.setPeers(peersByPool.getOrDefault(pool, Set.of()));
			load.setOwnShards(ownedByPool.getOrDefault(pool, List.of()));
			load.setBoundPercent(boundPercent(pool));
		});
	}

	private int boundPercent(PoolId pool) {
		return this.catalogue.entries()
			.values()
			.stream()
			.filter((entry) -> entry.pool().equals(pool))
			.mapToInt(CatalogueEntry::loadBoundPercent)
			.min()
			.orElse(DEFAULT_LOAD_BOUND_PERCENT);
	}

	private void applyVmList(Shard shard, long nowMillis) {
		this.vmList.entries()
			.forEach((entry) -> shard.target(new TargetId(entry.vm().value()))
				.ifPresent((slots) -> slots.setListedLeaving(entry.state() == VmState.LEAVING)));
		shard.recountOpenTargets();
		shard.setGrantableSharePercent(grantableSharePercent(shard.id().domain()), nowMillis);
	}

	private int grantableSharePercent(DomainId domain) {
		List<VmId> listedRouters = this.vmList.entries()
			.stream()
			.filter((entry) -> entry.domain().equals(domain) && entry.peerPort() != 0 && entry.state() == VmState.LIVE)
			.map(VmEntry::vm)
			.toList();
		long seenCount = this.ownership
			.map((currentOwnership) -> listedRouters.stream().filter(currentOwnership.routers()::containsKey).count())
			.orElse(0L);
		return listedRouters.isEmpty() ? PERCENT : (int) (seenCount * PERCENT / listedRouters.size());
	}

	/**
	 * Removes the shards that are no longer owned and have no grants left.
	 */
	void removeEmptyShards() {
		this.shards.values().removeIf((shard) -> !shard.isOwned() && shard.grants().isEmpty());
	}

}
