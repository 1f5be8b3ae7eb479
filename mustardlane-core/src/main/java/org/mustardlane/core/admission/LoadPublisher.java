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
 * Tells the owners of the other shards of a pool the loads of the own ones, within a byte
 * budget (token bucket).
 *
 * <p>
 * Guarded by the lock of the handler.
 */
final class LoadPublisher {

	private static final int MESSAGE_BYTES = 96;

	/**
	 * Most peers that are told at once; more are told in turn.
	 */
	static final int MOST_PEERS = 16;

	private static final int MILLIS_PER_SECOND = 1000;

	private static final int NOTABLE_DIVISOR = 8;

	private final AdmissionSettings settings;

	private final Map<ShardId, SentLoad> sentLoads = new HashMap<>();

	private long budgetBytes;

	private long budgetAtMillis;

	LoadPublisher(AdmissionSettings settings) {
		this.settings = settings;
		this.budgetBytes = settings.loadBytesPerSecond();
	}

	/**
	 * Sends the load of a shard if it is due.
	 * @param shard the shard
	 * @param nowMillis the time
	 * @param actions takes the messages
	 */
	void publish(Shard shard, long nowMillis, List<NodeAction> actions) {
		SentLoad sent = this.sentLoads.get(shard.id());
		if (sent != null && !isDue(shard, sent, nowMillis)) {
			return;
		}
		List<VmId> peers = shard.pool().peers();
		int count = Math.min(peers.size(), MOST_PEERS);
		refill(nowMillis);
		boolean early = sent != null && nowMillis < sent.sentAtMillis() + this.settings.idleLoadIntervalMillis();
		if (early && count * (long) MESSAGE_BYTES > this.budgetBytes) {
			return;
		}
		this.budgetBytes -= count * (long) MESSAGE_BYTES;
		long known = (sent != null) ? sent.load().version() : 0;
		int firstPeer = (sent != null) ? sent.nextPeer() : 0;
		ShardLoad load = load(shard, nowMillis, Math.max(nowMillis, known + 1));
		this.sentLoads.put(shard.id(), new SentLoad(load, nowMillis, firstPeer + count));
		for (int i = 0; i < count; i++) {
			actions.add(new SendPeer(peers.get(Math.floorMod(firstPeer + i, peers.size())), load));
		}
	}

	private boolean isDue(Shard shard, SentLoad sent, long nowMillis) {
		long ageMillis = nowMillis - sent.sentAtMillis();
		return ageMillis >= this.settings.idleLoadIntervalMillis()
				|| (ageMillis >= this.settings.loadIntervalMillis() && isNotable(shard, sent.load(), nowMillis));
	}

	private static boolean isNotable(Shard shard, ShardLoad sent, long nowMillis) {
		int change = Math.abs(shard.openLoad(nowMillis) - sent.granted());
		boolean queueTurned = (shard.queue().size() == 0) != (sent.queued() == 0);
		return change > sent.granted() / NOTABLE_DIVISOR || queueTurned || shard.openTargets() != sent.openTargets();
	}

	private void refill(long nowMillis) {
		long earned = (nowMillis - this.budgetAtMillis) * this.settings.loadBytesPerSecond() / MILLIS_PER_SECOND;
		if (earned > 0) {
			this.budgetBytes = Math.min(2L * this.settings.loadBytesPerSecond(), this.budgetBytes + earned);
			this.budgetAtMillis = nowMillis;
		}
	}

	static ShardLoad load(Shard shard, long nowMillis, long version) {
		return new ShardLoad(shard.id(), version, shard.openLoad(nowMillis), shard.queue().size(), shard.openTargets(),
				shard.openSlots());
	}

	void forget(ShardId shard) {
		this.sentLoads.remove(shard);
	}

	private record SentLoad(ShardLoad load, long sentAtMillis, int nextPeer) {

	}

}
