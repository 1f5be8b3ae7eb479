package org.mustardlane.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

import org.mustardlane.core.model.common.VmId;
import org.mustardlane.router.peer.PeerAddress;

/**
 * Where other routers listen and when each may be tried again.
 *
 * <p>
 * Not thread-safe.
 */
final class PeerRegistry {

	private static final int INITIAL_BACKOFF_MILLIS = 1000;

	private static final int MAX_BACKOFF_MILLIS = 16_000;

	private final VmId ownVm;

	private final Map<VmId, Peer> peers = new HashMap<>();

	private final List<PeerAddress> seeds;

	PeerRegistry(VmId ownVm, List<PeerAddress> seeds) {
		this.ownVm = ownVm;
		this.seeds = List.copyOf(seeds);
	}

	/**
	 * Notes where a router listens.
	 * @param vm the router
	 * @param address where it listens
	 * @return whether this is new
	 */
	boolean addOrUpdate(VmId vm, PeerAddress address) {
		if (vm.equals(this.ownVm)) {
			return false;
		}
		Peer current = this.peers.get(vm);
		if (current != null && current.address.equals(address)) {
			return false;
		}
		this.peers.put(vm, new Peer(address));
		return true;
	}

	/**
	 * Notes that a router has answered or called.
	 * @param vm the router
	 */
	void recordContact(VmId vm) {
		Peer peer = this.peers.get(vm);
		if (peer != null) {
			peer.failures = 0;
			peer.nextAttemptMillis = 0;
		}
	}

	/**
	 * Notes that the router at an address did not answer.
	 * @param address the address
	 * @param nowMillis the time
	 */
	void recordFailure(PeerAddress address, long nowMillis) {
		for (Peer peer : this.peers.values()) {
			if (peer.address.equals(address)) {
				peer.failures++;
				long backoffMillis = (long) INITIAL_BACKOFF_MILLIS << Math.min(10, peer.failures - 1);
				peer.nextAttemptMillis = nowMillis + Math.min(MAX_BACKOFF_MILLIS, backoffMillis);
			}
		}
	}

	/**
	 * Picks a router to talk to.
	 * @param random draws from 0 to below 1
	 * @param nowMillis the time
	 * @param includeBackedOff whether to try routers that failed lately where no other is
	 * left: a router that was cut off has seen all others fail
	 * @return an address, or empty where none may be tried now
	 */
	Optional<PeerAddress> pickPeer(DoubleSupplier random, long nowMillis, boolean includeBackedOff) {
		List<PeerAddress> candidates = addresses((peer) -> nowMillis >= peer.nextAttemptMillis);
		if (candidates.isEmpty() && includeBackedOff) {
			candidates.addAll(addresses((peer) -> true));
		}
		if (this.peers.isEmpty()) {
			candidates.addAll(this.seeds);
		}
		return candidates.isEmpty() ? Optional.empty()
				: Optional.of(candidates.get((int) (random.getAsDouble() * candidates.size())));
	}

	private List<PeerAddress> addresses(Predicate<Peer> filter) {
		List<PeerAddress> addresses = new ArrayList<>();
		this.peers.values().stream().filter(filter).forEach((peer) -> addresses.add(peer.address));
		return addresses;
	}

	/**
	 * Counts the routers among which limits of the fleet are shared, this one included.
	 * One that does not answer keeps its share: beyond a cut it may use it all the same.
	 * @return the number, at least 1
	 */
	int routerCount() {
		return 1 + this.peers.size();
	}

	private static final class Peer {

		private final PeerAddress address;

		private int failures;

		private long nextAttemptMillis;

		Peer(PeerAddress address) {
			this.address = address;
		}

	}

}
