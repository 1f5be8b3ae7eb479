package org.mustardlane.core.directory;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

/**
 * The entry that a target publishes about itself.
 *
 * @param id id of the target, reused only when the same target restarts
 * @param pool the pool of the target
 * @param host IP address
 * @param port TCP port
 * @param domain the failure domain of the target
 * @param slots maximum number of requests processed concurrently
 * @param state whether the target accepts new requests
 * @param startedAtMillis start time of the target on the clock of the platform, 0 if
 * unknown
 */
public record TargetEntry(TargetId id, PoolId pool, String host, int port, DomainId domain, int slots,
		TargetState state, long startedAtMillis) {

	/**
	 * Returns whether the target accepts new requests.
	 * @return true if the target is ready
	 */
	public boolean isReady() {
		return this.state == TargetState.READY;
	}

	// The generated methods call method handles, which cost more than the comparison
	// itself in code that the optimizing compiler has not compiled.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof TargetEntry that && this.id.equals(that.id)
				&& this.pool.equals(that.pool) && this.host.equals(that.host) && this.port == that.port
				&& this.domain.equals(that.domain) && this.slots == that.slots && this.state == that.state
				&& this.startedAtMillis == that.startedAtMillis);
	}

	@Override
	public int hashCode() {
		return this.id.hashCode();
	}

}
