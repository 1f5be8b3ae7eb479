package org.mustardlane.core.model.membership;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * An entry of the VM list of the platform.
 *
 * @param vm the VM
 * @param domain failure domain of the VM
 * @param host IP address of the VM
 * @param peerPort TCP port at which other routers reach the VM, 0 for the VM of a target
 * @param state state of the VM
 */
public record VmEntry(VmId vm, DomainId domain, String host, int peerPort, VmState state) {

}
