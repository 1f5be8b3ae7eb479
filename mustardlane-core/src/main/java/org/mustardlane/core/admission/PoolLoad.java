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

	private final Map<ShardId, HeardLoad> heardLoads = new HashMap<>();

	private List<VmId> peers = List.of();

	private int boundPercent;

	private int heardGranted;

	private int heardOpenTargets;

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
		this.ownShards.forEach((shard) -> this.heardLoads.remove(shard.id()));
		this.ownGranted = shards.stream().mapToInt(Shard::openGranted).sum();
		this.ownOpenTargets = shards.stream().mapToInt(Shard::openTargets).sum();
		this.warmUpEndMillis = shards.stream().mapToLong(Shard::warmUpEndMillis).max().orElse(0);
		sum();
	}

	/**
	 * Takes the load of a shard of another owner.
	 * @param load the load
	 * @param expiryMillis until when it counts
	 * @return whether it is news
	 */
	boolean hear(ShardLoad load, long expiryMillis) {
		HeardLoad known = this.heardLoads.get(load.shard());
		if ((known != null && known.load().version() >= load.version()) || owns(load.shard())) {
			return false;
		}
		this.heardLoads.put(load.shard(), new HeardLoad(load, expiryMillis));
		sum();
		return true;
	}

	private boolean owns(ShardId shard) {
		return this.ownShards.stream().anyMatch((own) -> own.id().equals(shard));
	}

	void forgetOld(long nowMillis) {
		if (this.heardLoads.values().removeIf((heard) -> heard.expiryMillis() < nowMillis)) {
			sum();
		}
	}

	private void sum() {
		Collection<HeardLoad> heard = this.heardLoads.values();
		this.heardGranted = heard.stream().mapToInt((entry) -> entry.load().granted()).sum();
		this.heardOpenTargets = heard.stream().mapToInt((entry) -> entry.load().openTargets()).sum();
	}

	/**
	 * Returns the load of a shard, heard from its owner or seen here.
	 * @param shard the shard
	 * @param nowMillis the time
	 * @return the load, or empty where nothing is known of the shard
	 */
	Optional<ShardLoad> find(ShardId shard, long nowMillis) {
		return Optional.ofNullable(this.heardLoads.get(shard))
			.map(HeardLoad::load)
			.or(() -> this.ownShards.stream()
				.filter((own) -> own.id().equals(shard))
				.findFirst()
				.map((own) -> LoadPublisher.load(own, nowMillis, nowMillis)));
	}

	/**
	 * Counts a change of the open targets of the own shards and of their grants.
	 * @param grantedChange more or fewer grants
	 * @param targetsChange more or fewer open targets
	 */
	void changeOwn(int grantedChange, int targetsChange) {
		this.ownGranted += grantedChange;
		this.ownOpenTargets += targetsChange;
	}

	/**
	 * Tells whether some other shard has room.
	 * @param except the shard that looks for room
	 * @param bound the load bound
	 * @param nowMillis the time
	 * @return true if one is below the bound and its slots
	 */
	boolean hasRoomElsewhere(Shard except, int bound, long nowMillis) {
		for (HeardLoad heard : this.heardLoads.values()) {
			if (hasRoom(heard.load(), bound)) {
				return true;
			}
		}
		for (Shard own : this.ownShards) {
			if (own != except && hasRoom(LoadPublisher.load(own, nowMillis, nowMillis), bound)) {
				return true;
			}
		}
		return false;
	}

	static boolean hasRoom(ShardLoad load, int bound) {
		return load.granted() < Math.min(load.slots(), bound * load.openTargets());
	}

	int granted(long nowMillis) {
		if (nowMillis >= this.warmUpEndMillis) {
			return this.heardGranted + this.ownGranted;
		}
		int granted = this.heardGranted;
		for (Shard shard : this.ownShards) {
			granted += shard.openLoad(nowMillis);
		}
		return granted;
	}

	int openTargets() {
		return this.heardOpenTargets + this.ownOpenTargets;
	}

	/**
	 * Returns the load bound: the most grants that one target may hold after a new grant.
	 * @param nowMillis the time
	 * @return the bound; at least one
	 */
	int bound(long nowMillis) {
		long targets = Math.max(1, openTargets());
		long scaled = (long) this.boundPercent * (granted(nowMillis) + 1);
		return (int) ((scaled + PERCENT * targets - 1) / (PERCENT * targets));
	}

	private record HeardLoad(ShardLoad load, long expiryMillis) {

	}

}
