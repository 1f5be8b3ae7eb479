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
 * The shards that this router owns or owned lately, by the newest catalogue, ownership
 * and VM list.
 *
 * <p>
 * Guarded by the lock of the handler.
 */
final class ShardTable {

	private static final int PERCENT = 100;

	private static final int DEFAULT_BOUND_PERCENT = 125;

	private final AdmissionSettings settings;

	private final Supplier<AskQueue> queues;

	private final Map<ShardId, Shard> shards = new LinkedHashMap<>();

	private final Map<PoolId, PoolLoad> pools = new HashMap<>();

	private CatalogueSnapshot catalogue = CatalogueSnapshot.EMPTY;

	private Optional<Ownership> ownership = Optional.empty();

	private VmList vmList = new VmList(0, List.of());

	ShardTable(AdmissionSettings settings, Supplier<AskQueue> queues) {
		this.settings = settings;
		this.queues = queues;
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
	 * Returns a shard that this router owns.
	 * @param shard the shard
	 * @return the shard, or empty where another router owns it
	 */
	Optional<Shard> owned(ShardId shard) {
		return known(shard).filter(Shard::owned);
	}

	/**
	 * Returns a shard that this router owns or owned lately.
	 * @param shard the shard
	 * @return the shard, or empty
	 */
	Optional<Shard> known(ShardId shard) {
		return Optional.ofNullable(this.shards.get(shard));
	}

	List<Shard> knownShards() {
		return List.copyOf(this.shards.values());
	}

	Optional<Shard> ownedShardOf(TargetId target) {
		return Optional.ofNullable(this.catalogue.shardOfTarget().get(target)).flatMap(this::owned);
	}

	List<Shard> ownedShards() {
		return this.shards.values().stream().filter(Shard::owned).toList();
	}

	/**
	 * Takes a newer catalogue.
	 * @param snapshot the catalogue
	 * @param nowMillis the time
	 * @return the shards that were lost
	 */
	List<Shard> take(CatalogueSnapshot snapshot, long nowMillis) {
		this.catalogue = snapshot;
		return refresh(nowMillis);
	}

	/**
	 * Takes a newer view of the live routers.
	 * @param newOwnership the view
	 * @param nowMillis the time
	 * @return the shards that were lost
	 */
	List<Shard> take(Ownership newOwnership, long nowMillis) {
		this.ownership = Optional.of(newOwnership);
		return refresh(nowMillis);
	}

	void take(VmList newList, long nowMillis) {
		this.vmList = newList;
		ownedShards().forEach((shard) -> applyVmList(shard, nowMillis));
	}

	private List<Shard> refresh(long nowMillis) {
		Set<ShardId> mine = new HashSet<>();
		this.ownership.ifPresent((owners) -> this.catalogue.shards()
			.keySet()
			.stream()
			.filter((shard) -> owners.shardOwner(shard).filter(owners.self()::equals).isPresent())
			.forEach(mine::add));
		List<Shard> lost = ownedShards().stream().filter((shard) -> !mine.contains(shard.id())).toList();
		lost.forEach((shard) -> shard.setOwned(false));
		mine.stream().sorted().forEach((shard) -> own(shard, nowMillis));
		refreshPools();
		return lost;
	}

	private void own(ShardId id, long nowMillis) {
		Shard shard = this.shards.computeIfAbsent(id, (key) -> new Shard(key, pool(key.pool()), this.queues.get()));
		List<TargetSlots> added = shard.setTargets(this.catalogue.shards().get(id));
		Collection<TargetSlots> unknown = shard.owned() ? added : shard.targets();
		unknown.forEach((slots) -> slots.startWarmUp(nowMillis + this.settings.warmUpMillis(), nowMillis));
		shard.setOwned(true);
		applyVmList(shard, nowMillis);
	}

	private void refreshPools() {
		Map<PoolId, Set<VmId>> peers = new HashMap<>();
		this.ownership.ifPresent((owners) -> this.catalogue.shards().keySet().forEach((shard) -> {
			Set<VmId> members = peers.computeIfAbsent(shard.pool(), (pool) -> new HashSet<>());
			owners.shardOwner(shard).filter((owner) -> !owner.equals(owners.self())).ifPresent(members::add);
		}));
		Map<PoolId, List<Shard>> own = new HashMap<>();
		ownedShards()
			.forEach((shard) -> own.computeIfAbsent(shard.id().pool(), (pool) -> new ArrayList<>()).add(shard));
		peers.keySet().forEach(this::pool);
		this.pools.forEach((pool, load) -> {
			load.setPeers(peers.getOrDefault(pool, Set.of()));
			load.setOwnShards(own.getOrDefault(pool, List.of()));
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
			.orElse(DEFAULT_BOUND_PERCENT);
	}

	private void applyVmList(Shard shard, long nowMillis) {
		this.vmList.entries()
			.forEach((row) -> shard.target(new TargetId(row.vm().value()))
				.ifPresent((slots) -> slots.listLeaving(row.state() == VmState.LEAVING)));
		shard.recount();
		shard.setRouterSharePercent(routerSharePercent(shard.id().domain()), nowMillis);
	}

	private int routerSharePercent(DomainId domain) {
		List<VmId> listed = this.vmList.entries()
			.stream()
			.filter((row) -> row.domain().equals(domain) && row.peerPort() != 0 && row.state() == VmState.LIVE)
			.map(VmEntry::vm)
			.toList();
		long seen = this.ownership.map((owners) -> listed.stream().filter(owners.routers()::containsKey).count())
			.orElse(0L);
		return listed.isEmpty() ? PERCENT : (int) (seen * PERCENT / listed.size());
	}

	/**
	 * Forgets shards that were lost and whose grants are all gone.
	 */
	void forgetEmpty() {
		this.shards.values().removeIf((shard) -> !shard.owned() && shard.grants().isEmpty());
	}

}
