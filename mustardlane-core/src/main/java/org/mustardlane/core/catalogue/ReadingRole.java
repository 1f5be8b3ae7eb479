package org.mustardlane.core.catalogue;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;

/**
 * Decides which routers of a failure domain read the log and tell the others what they
 * read.
 *
 * <p>
 * Routers may disagree for a while: then more of them read, or a listener hears of a
 * change from another router by gossip. Guarded by the lock of the handler.
 */
final class ReadingRole {

	private static final int READERS_PER_DOMAIN = 2;

	private static final String KEY_PREFIX = "catalogue-reader/";

	private final VmId self;

	private Optional<Ownership> ownership = Optional.empty();

	private List<VmId> readers = List.of();

	ReadingRole(VmId self) {
		this.self = self;
	}

	void ownershipChanged(Ownership changed) {
		long key = RendezvousHash.hash(KEY_PREFIX + changed.selfDomain());
		this.ownership = Optional.of(changed);
		this.readers = RendezvousHash.rank(key, changed.routersInDomain(changed.selfDomain()))
			.stream()
			.limit(READERS_PER_DOMAIN)
			.toList();
	}

	/**
	 * Returns whether this router reads the log; one that does not know the fleet or is
	 * not counted in it has nobody to rely on and reads.
	 * @return whether it does
	 */
	boolean isReader() {
		return this.readers.contains(this.self)
				|| this.ownership.map((known) -> !known.routers().containsKey(this.self)).orElse(true);
	}

	/**
	 * Returns the routers that this one tells what it reads.
	 * @return the routers of its failure domain that do not read, where this one reads
	 */
	List<VmId> listeners() {
		if (!this.readers.contains(this.self)) {
			return List.of();
		}
		Ownership known = this.ownership.orElseThrow();
		return known.routersInDomain(known.selfDomain()).stream().filter((vm) -> !this.readers.contains(vm)).toList();
	}

}
