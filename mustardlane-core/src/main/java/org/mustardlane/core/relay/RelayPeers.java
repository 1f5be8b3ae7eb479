package org.mustardlane.core.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.VmId;

/**
 * Chooses the router that is asked to take over a call.
 *
 * <p>
 * Calls are spread over all routers that have not declined lately, so that none takes
 * them all. Not thread-safe.
 */
public final class RelayPeers {

	/**
	 * A router that declines has lost its own path, is stopping or has much to do, which
	 * lasts for seconds.
	 */
	private static final int DECLINED_MILLIS = 1500;

	private final Map<VmId, Map<PoolId, Long>> declinedUntilMillis = new HashMap<>();

	/**
	 * Chooses a router.
	 * @param known all known routers
	 * @param excluded routers that have declined the call
	 * @param pool pool that the call is for
	 * @param random random number from 0 (inclusive) to 1 (exclusive)
	 * @param nowMillis the current time
	 * @return the router, or empty if all have declined lately
	 */
	public Optional<VmId> choose(Set<VmId> known, Set<VmId> excluded, PoolId pool, double random, long nowMillis) {
		this.declinedUntilMillis.keySet().retainAll(known);
		List<VmId> candidates = known.stream()
			.filter((router) -> !excluded.contains(router) && !hasDeclined(router, pool, nowMillis))
			.sorted()
			.toList();
		return candidates.isEmpty() ? Optional.empty()
				: Optional.of(candidates.get((int) (random * candidates.size())));
	}

	private boolean hasDeclined(VmId router, PoolId pool, long nowMillis) {
		return nowMillis < this.declinedUntilMillis.getOrDefault(router, Map.of()).getOrDefault(pool, Long.MIN_VALUE);
	}

	/**
	 * Records that a router has declined a call, or could not be reached.
	 * @param router the router
	 * @param pool pool that the call was for
	 * @param nowMillis the current time
	 */
	public void recordDeclined(VmId router, PoolId pool, long nowMillis) {
		this.declinedUntilMillis.computeIfAbsent(router, (id) -> new HashMap<>())
			.put(pool, nowMillis + DECLINED_MILLIS);
	}

}
