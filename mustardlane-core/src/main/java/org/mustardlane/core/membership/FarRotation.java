package org.mustardlane.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * Chooses whom a router tells of its failure domain: the routers of a domain share the
 * routers of each other domain out, so that in a round over all domains everyone hears of
 * every domain, and no one hears of it twice. The turn follows from the clock, so that
 * routers take it together; clocks that differ only make some news late or double.
 * Thread-safe: all methods are pure functions.
 */
final class FarRotation {

	private static final int MISSED_ROUNDS = 3;

	private static final long LEAST_TIMEOUT_MILLIS = 6000;

	private FarRotation() {
	}

	/**
	 * Returns after how long without news of a router elsewhere it is taken for dead.
	 * @param otherDomains number of the other domains
	 * @param periodMillis time between two turns
	 * @return milliseconds
	 */
	static long timeoutMillis(int otherDomains, long periodMillis) {
		return Math.max(LEAST_TIMEOUT_MILLIS, MISSED_ROUNDS * otherDomains * periodMillis);
	}

	/**
	 * Returns whom to tell at a turn.
	 * @param turn number of the turn, alike on all routers
	 * @param self this router
	 * @param ownDomain the live routers of its domain, itself among them
	 * @param otherDomains the known routers of each other domain
	 * @return the routers to tell
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
