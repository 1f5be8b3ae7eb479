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
final class FarRotation {

	private static final int MISSED_ROUNDS = 3;

	private static final long LEAST_TIMEOUT_MILLIS = 6000;

	private FarRotation() {
	}

	/**
	 * Returns how long a router in another domain may be silent before it is considered
	 * dead.
	 * @param otherDomains number of other domains
	 * @param periodMillis time between two turns
	 * @return the timeout in milliseconds
	 */
	static long timeoutMillis(int otherDomains, long periodMillis) {
		return Math.max(LEAST_TIMEOUT_MILLIS, MISSED_ROUNDS * otherDomains * periodMillis);
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
		List<List<VmId>> domains = List.copyOf(otherDomains.values());
		List<VmId> domain = domains.get((int) (turn % domains.size()));
		long round = turn / domains.size();
		int position = ownDomain.stream().sorted().toList().indexOf(self);
		List<VmId> chosen = new ArrayList<>();
		for (long index = (position + round) % ownDomain.size(); index < domain.size(); index += ownDomain.size()) {
			chosen.add(domain.get((int) index));
		}
		return chosen;
	}

}
