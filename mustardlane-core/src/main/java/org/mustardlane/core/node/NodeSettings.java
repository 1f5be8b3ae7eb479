package org.mustardlane.core.node;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * What a node is told at its start.
 *
 * @param self the VM
 * @param domain its failure domain
 * @param host IP address for other routers
 * @param peerPort TCP port for other routers
 * @param incarnationMillis start time of the process in milliseconds; greater after each
 * restart of the VM
 * @param seed seed of the random numbers
 */
public record NodeSettings(VmId self, DomainId domain, String host, int peerPort, long incarnationMillis, long seed) {

}
