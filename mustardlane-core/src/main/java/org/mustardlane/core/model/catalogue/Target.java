package org.mustardlane.core.model.catalogue;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

/**
 * An engine or a replica of a plain service.
 *
 * @param id identifier of the target
 * @param pool pool of the target
 * @param kind engine or plain service
 * @param domain failure domain of the VM of the target
 * @param host IP address
 * @param port TCP port
 * @param slots number of requests that the target can run concurrently
 * @param checksFencing whether the target refuses orders with an outdated fencing number
 */
public record Target(TargetId id, PoolId pool, TargetKind kind, DomainId domain, String host, int port, int slots,
		boolean checksFencing) {

}
