package org.mustardlane.core.model.membership;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * The newest sign of life known of a router.
 *
 * @param vm the VM
 * @param domain its failure domain
 * @param incarnation start time of the process in milliseconds
 * @param counter grows while the process lives
 * @param draining whether the router is stopping
 * @param host IP address for other routers
 * @param port TCP port for other routers
 * @param catalogueRevision the newest catalogue revision that the router has in force
 * @param silenceMillis time since the sender of this row saw the counter grow
 */
public record VmHeartbeat(VmId vm, DomainId domain, long incarnation, long counter, boolean draining, String host,
		int port, long catalogueRevision, long silenceMillis) {

}
