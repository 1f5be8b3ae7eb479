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
 * The load of a whole pool: the shards owned here, and what other owners have told.
 *
 * <p>
 * Guarded by the lock of the handler.
 */
final class PoolLoad {

	private static final int PERCENT = 100;

	private final List<Shard> ownShards = new ArrayList<>();

	private final Map<ShardId, PeerLoad> peerLoads = new HashMap<>();

	private List<VmId> peers = List.of();

	private int boundPercent;

	private int peerGranted;

	private int peerOpenTargets;

	private int ownGranted;

	private int ownOpenTargets;

	private long warmUpEndMillis;

	/**
	 * Returns the other routers that own shards of the pool.
	 * @return the routers
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
		this.ownGranted = shards.stream().mapToInt(Shard::openGranted).sum();
		this.ownOpenTargets = shards.stream().mapToInt(Shard::openTargets).sum();
		this.warmUpEndMillis = shards.stream().mapToLong(Shard::warmUpEndMillis).max().orElse(0);
		recomputePeerTotals();
	}

	/**
	 * Takes the load of a shard of another owner.
	 * @param load the load
	 * @param expiryMillis until when it counts
	 * @return whether it is news
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
		this.peerGranted = loads.stream().mapToInt((peerLoad) -> peerLoad.load().granted()).sum();
		this.peerOpenTargets = loads.stream().mapToInt((peerLoad) -> peerLoad.load().openTargets()).sum();
	}

	/**
	 * Returns the load of a shard, heard from its owner or seen here.
	 * @param shard the shard
	 * @param nowMillis the time
	 * @return the load, or empty where nothing is known of the shard
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
	 * Counts a change of the open targets of the own shards and of their grants.
	 * @param grantedChange more or fewer grants
	 * @param openTargetsChange more or fewer open targets
	 */
	void adjustOwnTotals(int grantedChange, int openTargetsChange) {
		this.ownGranted += grantedChange;
		this.ownOpenTargets += openTargetsChange;
	}

	/**
	 * Tells whether some other shard has room.
	 * @param requestingShard the shard that looks for room
	 * @param loadBound the load bound
	 * @param nowMillis the time
	 * @return true if one is below the bound and its slots
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

	int granted(long nowMillis) {
		if (nowMillis >= this.warmUpEndMillis) {
			return this.peerGranted + this.ownGranted;
		}
		int granted = this.peerGranted;
		for (Shard shard : this.ownShards) {
			granted += shard.openLoad(nowMillis);
		}
		return granted;
	}

	int openTargets() {
		return this.peerOpenTargets + this.ownOpenTargets;
	}

	/**
	 * Returns the load bound: the most grants that one target may hold after a new grant.
	 * @param nowMillis the time
	 * @return the bound; at least one
	 */
	int loadBound(long nowMillis) {
		long targetCount = Math.max(1, openTargets());
		long scaledLoad = (long) this.boundPercent * (granted(nowMillis) + 1);
		return (int) ((scaledLoad + PERCENT * targetCount - 1) / (PERCENT * targetCount));
	}

	private record PeerLoad(ShardLoad load, long expiryMillis) {

	}

}
