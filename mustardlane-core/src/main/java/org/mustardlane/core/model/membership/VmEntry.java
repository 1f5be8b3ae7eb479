package org.mustardlane.core.model.membership;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * A row of the VM list of the platform.
 *
 * @param vm the VM
 * @param domain its failure domain
 * @param host IP address
 * @param peerPort TCP port for other routers, 0 for a VM of a target
 * @param state live or leaving
 */
public record VmEntry(VmId vm, DomainId domain, String host, int peerPort, VmState state) {

}
