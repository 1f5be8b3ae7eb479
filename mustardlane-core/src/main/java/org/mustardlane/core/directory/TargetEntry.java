package org.mustardlane.core.directory;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

/**
 * What a target says of itself.
 *
 * @param id name of the incarnation, used again only by a restart of the same target
 * @param pool pool that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param domain failure domain
 * @param slots requests that it runs at once
 * @param state whether it takes new work
 * @param startedAtMillis time of its start, on the clock of the platform; 0 where it is
 * not known
 */
public record TargetEntry(TargetId id, PoolId pool, String host, int port, DomainId domain, int slots,
		TargetState state, long startedAtMillis) {

	/**
	 * Tells whether the target takes new work.
	 * @return true if it does
	 */
	public boolean isReady() {
		return this.state == TargetState.READY;
	}

}
