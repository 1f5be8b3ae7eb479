package org.mustardlane.core.node;

import org.mustardlane.core.admission.AdmissionPolicy;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * Startup settings of a node.
 *
 * @param self the VM of the node
 * @param domain failure domain of the VM
 * @param host address at which other routers reach this node
 * @param peerPort port at which other routers reach this node
 * @param incarnationMillis start time of the process in milliseconds since the epoch;
 * increases with each restart
 * @param seed seed of the random number generators
 * @param admissionPolicy policy by which this node grants the shards that it owns
 */
public record NodeSettings(VmId self, DomainId domain, String host, int peerPort, long incarnationMillis, long seed,
		AdmissionPolicy admissionPolicy) {

	/**
	 * Creates settings with the default admission policy,
	 * {@link AdmissionPolicy#BOUNDED}.
	 * @param self the VM of the node
	 * @param domain failure domain of the VM
	 * @param host address at which other routers reach this node
	 * @param peerPort port at which other routers reach this node
	 * @param incarnationMillis start time of the process in milliseconds since the epoch
	 * @param seed seed of the random number generators
	 */
	public NodeSettings(VmId self, DomainId domain, String host, int peerPort, long incarnationMillis, long seed) {
		this(self, domain, host, peerPort, incarnationMillis, seed, AdmissionPolicy.BOUNDED);
	}

}
