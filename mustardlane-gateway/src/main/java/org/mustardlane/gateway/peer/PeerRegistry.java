package org.mustardlane.gateway.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.placement.FleetPosition;
import org.mustardlane.router.peer.PeerAddress;

/**
 * Registry of the addresses of other routers and of the time from which each may be
 * contacted again.
 *
 * <p>
 * Not thread-safe.
 */
final class PeerRegistry {

	private static final int INITIAL_BACKOFF_MILLIS = 1000;

	private static final int MAX_BACKOFF_MILLIS = 16_000;

	/**
	 * Each router is also a neighbour of about as many others, which connects even large
	 * fleets by short paths.
	 */
	private static final int NEIGHBOUR_COUNT = 4;

	private final VmId ownVm;

	private final Map<VmId, Peer> peers = new HashMap<>();

	private final Map<VmId, RouterEndpoint> endpoints = new HashMap<>();

	private final List<PeerAddress> seeds;

	PeerRegistry(VmId ownVm, List<PeerAddress> seeds) {
		this.ownVm = ownVm;
		this.seeds = List.copyOf(seeds);
	}

	/**
	 * Adds a router or updates its address.
	 * @param vm the VM of the router
	 * @param endpoint where the router can be reached
	 * @return true if the router or its address is new
	 */
	boolean addOrUpdate(VmId vm, RouterEndpoint endpoint) {
		if (vm.equals(this.ownVm)) {
			return false;
		}
		this.endpoints.put(vm, endpoint);
		PeerAddress address = endpoint.gossip();
		Peer current = this.peers.get(vm);
		if (current != null && current.address.equals(address)) {
			return false;
		}
		long rank = RendezvousHash.score(RendezvousHash.hash(this.ownVm.value()), RendezvousHash.hash(vm.value()));
		this.peers.put(vm, new Peer(address, rank));
		return true;
	}

	/**
	 * Records that a router has replied or has sent a request, which resets its backoff.
	 * @param vm the VM of the router
	 */
	void recordContact(VmId vm) {
		Peer peer = this.peers.get(vm);
		if (peer != null) {
			peer.failureCount = 0;
			peer.nextAttemptMillis = 0;
		}
	}

	/**
	 * Records that the router at an address did not reply, which increases its backoff.
	 * @param address address of the router
	 * @param nowMillis current time
	 */
	void recordFailure(PeerAddress address, long nowMillis) {
		for (Peer peer : this.peers.values()) {
			if (peer.address.equals(address)) {
				peer.failureCount++;
				long backoffMillis = (long) INITIAL_BACKOFF_MILLIS << Math.min(10, peer.failureCount - 1);
				peer.nextAttemptMillis = nowMillis + Math.min(MAX_BACKOFF_MILLIS, backoffMillis);
			}
		}
	}

	/**
	 * Picks a router to contact: one of the neighbours of this router, so that few
	 * connections between routers are opened and those stay in use. The neighbours of all
	 * routers together connect the fleet.
	 * @param random supplies random numbers from 0 (inclusive) to 1 (exclusive)
	 * @param nowMillis current time
	 * @param isUrgent whether to contact any router, even within its backoff if there are
	 * no others; a router that was partitioned has seen all other routers fail
	 * @return an address, or empty if no router may be contacted now
	 */
	Optional<PeerAddress> pickPeer(DoubleSupplier random, long nowMillis, boolean isUrgent) {
		List<PeerAddress> candidates = addresses((peer) -> nowMillis >= peer.nextAttemptMillis);
		if (candidates.isEmpty() && isUrgent) {
			candidates.addAll(addresses((peer) -> true));
		}
		if (this.peers.isEmpty()) {
			candidates.addAll(this.seeds);
		}
		int choices = isUrgent ? candidates.size() : Math.min(NEIGHBOUR_COUNT, candidates.size());
		return candidates.isEmpty() ? Optional.empty()
				: Optional.of(candidates.get((int) (random.getAsDouble() * choices)));
	}

	/**
	 * Returns the neighbours of this router, to which urgent news go at once. Each
	 * forwards them to its own neighbours.
	 * @param nowMillis current time
	 * @return the addresses of the neighbours that may be contacted now
	 */
	List<PeerAddress> neighbours(long nowMillis) {
		List<PeerAddress> candidates = addresses((peer) -> nowMillis >= peer.nextAttemptMillis);
		return candidates.subList(0, Math.min(NEIGHBOUR_COUNT, candidates.size()));
	}

	// Nearest neighbours first. The order differs from router to router.
	private List<PeerAddress> addresses(Predicate<Peer> filter) {
		List<PeerAddress> addresses = new ArrayList<>();
		this.peers.values()
			.stream()
			.filter(filter)
			.sorted(Comparator.comparing((peer) -> peer.rank, Long::compareUnsigned))
			.forEach((peer) -> addresses.add(peer.address));
		return addresses;
	}

	/**
	 * Returns the addresses at which other routers take calls over.
	 * @return the addresses of the routers that state one
	 */
	Map<VmId, PeerAddress> callAddresses() {
		Map<VmId, PeerAddress> addresses = new HashMap<>();
		this.endpoints.forEach((vm, endpoint) -> endpoint.calls().ifPresent((address) -> addresses.put(vm, address)));
		return addresses;
	}

	/**
	 * Returns the position of this router among all routers, which share the limits of
	 * the fleet. Routers that do not reply are counted, because they may still use their
	 * share on the other side of a network partition.
	 * @param minRouters number of routers to assume at least
	 * @return the position
	 */
	FleetPosition position(int minRouters) {
		int rank = (int) this.peers.keySet().stream().filter((vm) -> vm.compareTo(this.ownVm) < 0).count();
		return new FleetPosition(rank, Math.max(minRouters, 1 + this.peers.size()));
	}

	private static final class Peer {

		private final PeerAddress address;

		private final long rank;

		private int failureCount;

		private long nextAttemptMillis;

		Peer(PeerAddress address, long rank) {
			this.address = address;
			this.rank = rank;
		}

	}

}
