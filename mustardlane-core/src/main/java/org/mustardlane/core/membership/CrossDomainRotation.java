package org.mustardlane.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * Chooses the routers in other failure domains to which a router sends the heartbeats of
 * its own domain.
 *
 * <p>
 * Each turn addresses one other domain, and the routers of the own domain divide its
 * routers among themselves. In one round over all other domains, each of their routers
 * therefore receives the heartbeats of the own domain exactly once. The turn number is
 * derived from the clock, so that the routers of a domain agree on it. Clock differences
 * only cause some heartbeats to arrive late or twice. Thread-safe: all methods are pure
 * functions.
 */
final class CrossDomainRotation {

	private static final int TIMEOUT_ROUNDS = 3;

	private static final long MIN_TIMEOUT_MILLIS = 6000;

	private CrossDomainRotation() {
	}

	/**
	 * Returns how long a router in another domain may be silent before it is considered
	 * dead.
	 * @param otherDomains number of other domains
	 * @param periodMillis time between two turns
	 * @return the timeout in milliseconds
	 */
	static long timeoutMillis(int otherDomains, long periodMillis) {
		return Math.max(MIN_TIMEOUT_MILLIS, TIMEOUT_ROUNDS * otherDomains * periodMillis);
	}

	/**
	 * Returns the receivers of a router's gossip in a turn.
	 * @param turn number of the turn, equal on all routers
	 * @param self this router
	 * @param ownDomain the live routers of its domain, including itself
	 * @param otherDomains the known routers of each other domain
	 * @return the routers to send gossip to
	 */
	static List<VmId> receivers(long turn, VmId self, List<VmId> ownDomain,
			SortedMap<DomainId, List<VmId>> otherDomains) {
		if (otherDomains.isEmpty()) {
			return List.of();
		}
		List<List<VmId>> routersPerDomain = List.copyOf(otherDomains.values());
		List<VmId> candidates = routersPerDomain.get((int) (turn % routersPerDomain.size()));
		long round = turn / routersPerDomain.size();
		int position = ownDomain.stream().sorted().toList().indexOf(self);
		List<VmId> receivers = new ArrayList<>();
		for (long index = (position + round) % ownDomain.size(); index < candidates.size(); index += ownDomain.size()) {
			receivers.add(candidates.get((int) index));
		}
		return receivers;
	}

}
