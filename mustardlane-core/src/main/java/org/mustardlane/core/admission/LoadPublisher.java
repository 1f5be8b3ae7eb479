package org.mustardlane.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;

/**
 * Sends the loads of owned shards to the owners of the other shards of the pool, within a
 * byte budget (token bucket).
 *
 * <p>
 * Not thread-safe; guarded by the lock of {@link AdmissionHandler}.
 */
final class LoadPublisher {

	private static final int ESTIMATED_MESSAGE_BYTES = 96;

	/**
	 * Largest number of peers that receive one load. With more peers, successive loads go
	 * to them in rotation.
	 */
	static final int MAX_PEERS_PER_ROUND = 16;

	private static final int MILLIS_PER_SECOND = 1000;

	private static final int SIGNIFICANT_CHANGE_DIVISOR = 8;

	private final AdmissionSettings settings;

	private final Map<ShardId, SentLoad> lastSentLoads = new HashMap<>();

	private long availableBytes;

	private long refilledAtMillis;

	LoadPublisher(AdmissionSettings settings) {
		this.settings = settings;
		this.availableBytes = settings.loadBytesPerSecond();
	}

	/**
	 * Sends the load of a shard if it is due.
	 * @param shard the shard
	 * @param nowMillis the current time in milliseconds
	 * @param actions the list to which messages are added
	 */
	void publishIfDue(Shard shard, long nowMillis, List<NodeAction> actions) {
		SentLoad lastSent = this.lastSentLoads.get(shard.id());
		if (lastSent != null && !isDue(shard, lastSent, nowMillis)) {
			return;
		}
		List<VmId> peers = shard.pool().peers();
		int peerCount = Math.min(peers.size(), MAX_PEERS_PER_ROUND);
		refill(nowMillis);
		boolean beforeIdleInterval = lastSent != null
				&& nowMillis < lastSent.sentAtMillis() + this.settings.idleLoadIntervalMillis();
		if (beforeIdleInterval && peerCount * (long) ESTIMATED_MESSAGE_BYTES > this.availableBytes) {
			return;
		}
		this.availableBytes -= peerCount * (long) ESTIMATED_MESSAGE_BYTES;
		long lastVersion = (lastSent != null) ? lastSent.load().version() : 0;
		int firstPeerIndex = (lastSent != null) ? lastSent.nextPeerIndex() : 0;
		ShardLoad load = currentLoad(shard, nowMillis, Math.max(nowMillis, lastVersion + 1));
		this.lastSentLoads.put(shard.id(), new SentLoad(load, nowMillis, firstPeerIndex + peerCount));
		for (int i = 0; i < peerCount; i++) {
			actions.add(new SendPeer(peers.get(Math.floorMod(firstPeerIndex + i, peers.size())), load));
		}
	}

	private boolean isDue(Shard shard, SentLoad lastSent, long nowMillis) {
		long ageMillis = nowMillis - lastSent.sentAtMillis();
		return ageMillis >= this.settings.idleLoadIntervalMillis() || (ageMillis >= this.settings.loadIntervalMillis()
				&& isSignificantChange(shard, lastSent.load(), nowMillis));
	}

	private static boolean isSignificantChange(Shard shard, ShardLoad lastLoad, long nowMillis) {
		int change = Math.abs(shard.loadOfOpenTargets(nowMillis) - lastLoad.granted());
		boolean queueEmptinessChanged = (shard.queue().size() == 0) != (lastLoad.queued() == 0);
		return change > lastLoad.granted() / SIGNIFICANT_CHANGE_DIVISOR || queueEmptinessChanged
				|| shard.openTargetCount() != lastLoad.openTargets();
	}

	private void refill(long nowMillis) {
		long refilledBytes = (nowMillis - this.refilledAtMillis) * this.settings.loadBytesPerSecond()
				/ MILLIS_PER_SECOND;
		if (refilledBytes > 0) {
			this.availableBytes = Math.min(2L * this.settings.loadBytesPerSecond(),
					this.availableBytes + refilledBytes);
			this.refilledAtMillis = nowMillis;
		}
	}

	static ShardLoad currentLoad(Shard shard, long nowMillis, long version) {
		return new ShardLoad(shard.id(), version, shard.loadOfOpenTargets(nowMillis), shard.queue().size(),
				shard.openTargetCount(), shard.slotsOfOpenTargets());
	}

	void forget(ShardId shard) {
		this.lastSentLoads.remove(shard);
	}

	private record SentLoad(ShardLoad load, long sentAtMillis, int nextPeerIndex) {

	}

}
