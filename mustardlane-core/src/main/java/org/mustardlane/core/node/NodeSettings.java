package org.mustardlane.core.node;

import org.mustardlane.core.admission.AdmissionPolicy;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * What a node is told at its start.
 *
 * @param self the VM
 * @param domain its failure domain
 * @param host address for other routers
 * @param peerPort port for other routers
 * @param incarnationMillis start time of the process in milliseconds; greater after each
 * restart of the VM
 * @param seed seed of the random numbers
 * @param admissionPolicy how the shards that this node owns are granted
 */
public record NodeSettings(VmId self, DomainId domain, String host, int peerPort, long incarnationMillis, long seed,
		AdmissionPolicy admissionPolicy) {

	/**
	 * Creates settings with the chosen admission policy.
	 * @param self the VM
	 * @param domain its failure domain
	 * @param host address for other routers
	 * @param peerPort port for other routers
	 * @param incarnationMillis start time of the process in milliseconds
	 * @param seed seed of the random numbers
	 */
	public NodeSettings(VmId self, DomainId domain, String host, int peerPort, long incarnationMillis, long seed) {
		this(self, domain, host, peerPort, incarnationMillis, seed, AdmissionPolicy.BOUNDED);
	}

}
