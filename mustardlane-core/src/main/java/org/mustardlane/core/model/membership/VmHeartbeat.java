package org.mustardlane.core.model.membership;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * The newest known heartbeat of a router.
 *
 * @param vm the VM of the router
 * @param domain failure domain of the VM
 * @param incarnation start time of the process in milliseconds since the epoch
 * @param counter increases while the process is alive
 * @param draining whether the router is draining
 * @param host IP address at which other routers reach the router
 * @param port TCP port at which other routers reach the router
 * @param catalogueRevision revision of the catalogue that is effective on the router
 * @param silenceMillis time since the sender of this heartbeat last saw the counter
 * increase
 */
public record VmHeartbeat(VmId vm, DomainId domain, long incarnation, long counter, boolean draining, String host,
		int port, long catalogueRevision, long silenceMillis) {

}
