package org.mustardlane.gateway.target;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.TargetId;

/**
 * Address of one target. A connection to it is used for no other target, even if the host
 * and port are assigned again.
 *
 * @param id id of the target
 * @param host IP address
 * @param port TCP port
 */
record TargetAddress(TargetId id, String host, int port) {

	static TargetAddress of(TargetEntry target) {
		return new TargetAddress(target.id(), target.host(), target.port());
	}

	// The generated methods call method handles, which cost more than the comparison
	// itself in code that the optimizing compiler has not compiled.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof TargetAddress that && this.id.equals(that.id)
				&& this.host.equals(that.host) && this.port == that.port);
	}

	@Override
	public int hashCode() {
		return this.id.hashCode();
	}

}
