package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;

/**
 * Tracks the load of a pool, from the shards owned here and the loads received from other
 * owners.
 *
 * <p>
 * Not thread-safe; guarded by the lock of {@link AdmissionHandler}.
 */
final class PoolLoad {

	private static final int PERCENT = 100;

	private final List<Shard> ownShards = new ArrayList<>();

	private final Map<ShardId, PeerLoad> peerLoads = new HashMap<>();

	private List<VmId> peers = List.of();

	private int boundPercent;

	private int peerGrants;

	private int peerOpenTargetCount;

	private int ownGrants;

	private int ownOpenTargetCount;

	private long warmUpEndMillis;

	/**
	 * Returns the other routers that own shards of the pool.
	 * @return the VMs of the routers
	 */
	List<VmId> peers() {
		return this.peers;
	}

	void setPeers(Collection<VmId> peers) {
		this.peers = peers.stream().sorted().toList();
	}

	void setBoundPercent(int percent) {
		this.boundPercent = percent;
	}

	void setOwnShards(List<Shard> shards) {
		this.ownShards.clear();
		this.ownShards.addAll(shards);
		this.ownShards.forEach((shard) -> this.peerLoads.remove(shard.id()));
		this.ownGrants = shards.stream().mapToInt(Shard::grantsOnOpenTargets).sum();
		this.ownOpenTargetCount = shards.stream().mapToInt(Shard::openTargetCount).sum();
		this.warmUpEndMillis = shards.stream().mapToLong(Shard::warmUpEndMillis).max().orElse(0);
		recomputePeerTotals();
	}

	/**
	 * Records the load of a shard that another router owns.
	 * @param load the load
	 * @param expiryMillis time at which the load expires
	 * @return true if the load is newer than the recorded one and the shard is not owned
	 * here
	 */
	boolean recordPeerLoad(ShardLoad load, long expiryMillis) {
		PeerLoad lastKnown = this.peerLoads.get(load.shard());
		if ((lastKnown != null && lastKnown.load().version() >= load.version()) || owns(load.shard())) {
			return false;
		}
		this.peerLoads.put(load.shard(), new PeerLoad(load, expiryMillis));
		recomputePeerTotals();
		return true;
	}

	private boolean owns(ShardId shard) {
		return this.ownShards.stream().anyMatch((ownShard) -> ownShard.id().equals(shard));
	}

	void removeExpiredLoads(long nowMillis) {
		if (this.peerLoads.values().removeIf((peerLoad) -> peerLoad.expiryMillis() < nowMillis)) {
			recomputePeerTotals();
		}
	}

	private void recomputePeerTotals() {
		Collection<PeerLoad> loads = this.peerLoads.values();
		this.peerGrants = loads.stream().mapToInt((peerLoad) -> peerLoad.load().granted()).sum();
		this.peerOpenTargetCount = loads.stream().mapToInt((peerLoad) -> peerLoad.load().openTargets()).sum();
	}

	/**
	 * Returns the load of a shard, either received from its owner or computed here.
	 * @param shard the shard
	 * @param nowMillis the current time in milliseconds
	 * @return the load, or empty if none is known
	 */
	Optional<ShardLoad> findLoad(ShardId shard, long nowMillis) {
		return Optional.ofNullable(this.peerLoads.get(shard))
			.map(PeerLoad::load)
			.or(() -> this.ownShards.stream()
				.filter((ownShard) -> ownShard.id().equals(shard))
				.findFirst()
				.map((ownShard) -> LoadPublisher.currentLoad(ownShard, nowMillis, nowMillis)));
	}

	/**
	 * Adjusts the totals of the owned shards after their grants or open targets changed.
	 * @param grantCountChange change of the number of grants
	 * @param openTargetCountChange change of the number of open targets
	 */
	void adjustOwnTotals(int grantCountChange, int openTargetCountChange) {
		this.ownGrants += grantCountChange;
		this.ownOpenTargetCount += openTargetCountChange;
	}

	/**
	 * Checks whether another shard has room for a request.
	 * @param requestingShard the shard to leave out
	 * @param loadBound the load bound of the pool
	 * @param nowMillis the current time in milliseconds
	 * @return true if another shard is below the load bound and has a free slot
	 */
	boolean hasRoomElsewhere(Shard requestingShard, int loadBound, long nowMillis) {
		for (PeerLoad peerLoad : this.peerLoads.values()) {
			if (hasRoom(peerLoad.load(), loadBound)) {
				return true;
			}
		}
		for (Shard ownShard : this.ownShards) {
			if (ownShard != requestingShard
					&& hasRoom(LoadPublisher.currentLoad(ownShard, nowMillis, nowMillis), loadBound)) {
				return true;
			}
		}
		return false;
	}

	static boolean hasRoom(ShardLoad load, int loadBound) {
		return load.granted() < Math.min(load.slots(), loadBound * load.openTargets());
	}

	int totalLoad(long nowMillis) {
		if (nowMillis >= this.warmUpEndMillis) {
			return this.peerGrants + this.ownGrants;
		}
		int load = this.peerGrants;
		for (Shard shard : this.ownShards) {
			load += shard.loadOfOpenTargets(nowMillis);
		}
		return load;
	}

	int openTargetCount() {
		return this.peerOpenTargetCount + this.ownOpenTargetCount;
	}

	/**
	 * Returns the load bound, which is the largest number of grants that one target may
	 * hold after a new grant.
	 * @param nowMillis the current time in milliseconds
	 * @return the load bound, at least 1
	 */
	int loadBound(long nowMillis) {
		long targetCount = Math.max(1, openTargetCount());
		long scaledLoad = (long) this.boundPercent * (totalLoad(nowMillis) + 1);
		return (int) ((scaledLoad + PERCENT * targetCount - 1) / (PERCENT * targetCount));
	}

	private record PeerLoad(ShardLoad load, long expiryMillis) {

	}

}
