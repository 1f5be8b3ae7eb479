package org.mustardlane.core.catalogue;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;

/**
 * Selects the routers of a failure domain that read the log and relay its records to the
 * other routers of the domain.
 *
 * <p>
 * Routers may disagree on the selection for a while. Then more routers than necessary
 * read the log, or a router that gets no relays learns of a change from the gossip of
 * another router. Not thread-safe: guarded by the lock of {@link CatalogueHandler}.
 */
final class LogReaderSelection {

	private static final int READERS_PER_DOMAIN = 2;

	private static final String KEY_PREFIX = "catalogue-reader/";

	private final VmId self;

	private Optional<Ownership> ownership = Optional.empty();

	private List<VmId> readers = List.of();

	LogReaderSelection(VmId self) {
		this.self = self;
	}

	void ownershipChanged(Ownership newOwnership) {
		long domainKey = RendezvousHash.hash(KEY_PREFIX + newOwnership.selfDomain());
		this.ownership = Optional.of(newOwnership);
		this.readers = RendezvousHash.rank(domainKey, newOwnership.routersInDomain(newOwnership.selfDomain()))
			.stream()
			.limit(READERS_PER_DOMAIN)
			.toList();
	}

	/**
	 * Returns whether this router reads the log. A router that does not know the fleet or
	 * is not part of it gets no relays and therefore reads the log itself.
	 * @return {@code true} if this router reads the log
	 */
	boolean isReader() {
		return this.readers.contains(this.self)
				|| this.ownership.map((currentOwnership) -> !currentOwnership.routers().containsKey(this.self))
					.orElse(true);
	}

	/**
	 * Returns the routers to which this router relays the records that it reads.
	 * @return the routers of this failure domain that are not selected as readers; empty
	 * if this router is not selected itself
	 */
	List<VmId> relayReceivers() {
		if (!this.readers.contains(this.self)) {
			return List.of();
		}
		Ownership currentOwnership = this.ownership.orElseThrow();
		return currentOwnership.routersInDomain(currentOwnership.selfDomain())
			.stream()
			.filter((vm) -> !this.readers.contains(vm))
			.toList();
	}

}
