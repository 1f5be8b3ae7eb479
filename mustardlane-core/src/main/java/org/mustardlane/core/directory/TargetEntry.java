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
 * @param softwareVersion version of the software of the target; versions have no order
 * @param state whether the target accepts new requests
 * @param startedAtMillis start time of the target on the clock of the platform, 0 if
 * unknown
 * @param sequence number that rises with each entry that the target publishes after its
 * start, 0 if unknown
 */
public record TargetEntry(TargetId id, PoolId pool, String host, int port, DomainId domain, int slots,
		String softwareVersion, TargetState state, long startedAtMillis, long sequence) {

	/**
	 * Returns whether the target accepts new requests.
	 * @return true if the target is ready
	 */
	public boolean isReady() {
		return this.state == TargetState.READY;
	}

	/**
	 * Returns whether the target has published this entry after another one of its own.
	 * @param other the other entry
	 * @return false also if this is the same entry
	 */
	public boolean isNewerThan(TargetEntry other) {
		return (this.startedAtMillis != other.startedAtMillis) ? this.startedAtMillis > other.startedAtMillis
				: this.sequence > other.sequence;
	}

	// The generated methods call method handles, which cost more than the comparison
	// itself in code that the optimizing compiler has not compiled.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof TargetEntry that && this.id.equals(that.id)
				&& this.pool.equals(that.pool) && this.host.equals(that.host) && this.port == that.port
				&& this.domain.equals(that.domain) && this.slots == that.slots
				&& this.softwareVersion.equals(that.softwareVersion) && this.state == that.state
				&& this.startedAtMillis == that.startedAtMillis && this.sequence == that.sequence);
	}

	@Override
	public int hashCode() {
		return this.id.hashCode();
	}

}
