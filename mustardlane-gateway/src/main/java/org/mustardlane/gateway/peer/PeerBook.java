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
final class PeerBook {

	private static final int FIRST_PAUSE_MILLIS = 1000;

	private static final int LONGEST_PAUSE_MILLIS = 16_000;

	private final VmId self;

	private final Map<VmId, Peer> peers = new HashMap<>();

	private final List<PeerAddress> seeds;

	PeerBook(VmId self, List<PeerAddress> seeds) {
		this.self = self;
		this.seeds = List.copyOf(seeds);
	}

	/**
	 * Notes where a router listens.
	 * @param vm the router
	 * @param address where it listens
	 * @return whether this is new
	 */
	boolean found(VmId vm, PeerAddress address) {
		if (vm.equals(this.self)) {
			return false;
		}
		Peer known = this.peers.get(vm);
		if (known != null && known.address.equals(address)) {
			return false;
		}
		this.peers.put(vm, new Peer(address));
		return true;
	}

	/**
	 * Notes that a router has answered or called.
	 * @param vm the router
	 */
	void alive(VmId vm) {
		Peer peer = this.peers.get(vm);
		if (peer != null) {
			peer.failures = 0;
			peer.notBeforeMillis = 0;
		}
	}

	/**
	 * Notes that the router at an address did not answer.
	 * @param address the address
	 * @param nowMillis the time
	 */
	void failed(PeerAddress address, long nowMillis) {
		for (Peer peer : this.peers.values()) {
			if (peer.address.equals(address)) {
				peer.failures++;
				long pause = (long) FIRST_PAUSE_MILLIS << Math.min(10, peer.failures - 1);
				peer.notBeforeMillis = nowMillis + Math.min(LONGEST_PAUSE_MILLIS, pause);
			}
		}
	}

	/**
	 * Picks a router to talk to.
	 * @param random draws from 0 to below 1
	 * @param nowMillis the time
	 * @param urgent whether to try routers that failed lately where no other is left: a
	 * router that was cut off has seen all others fail
	 * @return an address, or empty where none may be tried now
	 */
	Optional<PeerAddress> pick(DoubleSupplier random, long nowMillis, boolean urgent) {
		List<PeerAddress> due = addresses((peer) -> nowMillis >= peer.notBeforeMillis);
		if (due.isEmpty() && urgent) {
			due.addAll(addresses((peer) -> true));
		}
		if (this.peers.isEmpty()) {
			due.addAll(this.seeds);
		}
		return due.isEmpty() ? Optional.empty() : Optional.of(due.get((int) (random.getAsDouble() * due.size())));
	}

	private List<PeerAddress> addresses(Predicate<Peer> taken) {
		List<PeerAddress> addresses = new ArrayList<>();
		this.peers.values().stream().filter(taken).forEach((peer) -> addresses.add(peer.address));
		return addresses;
	}

	/**
	 * Counts the routers among which limits of the fleet are shared, this one included.
	 * One that does not answer keeps its share: beyond a cut it may use it all the same.
	 * @return the number, at least 1
	 */
	int sharers() {
		return 1 + this.peers.size();
	}

	private static final class Peer {

		private final PeerAddress address;

		private int failures;

		private long notBeforeMillis;

		Peer(PeerAddress address) {
			this.address = address;
		}

	}

}
