package org.mustardlane.core.model.catalogue;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

/**
 * An engine or a replica of a plain service.
 *
 * @param id the name
 * @param pool the pool it belongs to
 * @param kind engine or plain service
 * @param domain the failure domain of its VM
 * @param host IP address
 * @param port TCP port
 * @param slots most requests it runs at once
 * @param checksFencing whether it refuses an order with an old fencing number
 */
public record Target(TargetId id, PoolId pool, TargetKind kind, DomainId domain, String host, int port, int slots,
		boolean checksFencing) {

}
