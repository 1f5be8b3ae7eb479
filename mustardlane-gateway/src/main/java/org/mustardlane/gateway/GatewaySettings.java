package org.mustardlane.gateway;

import java.net.InetSocketAddress;
import java.util.List;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.retry.RetryLimits;
import org.mustardlane.router.peer.PeerAddress;

/**
 * Validated settings of the daemon.
 *
 * @param vm name of the VM
 * @param domain failure domain of the VM
 * @param callerAddress listening address for callers
 * @param healthAddress listening address for readiness probes
 * @param readyPath path of the readiness probe
 * @param peerAddress listening address for other routers
 * @param relayAddress listening address for calls that other routers pass on
 * @param seeds routers to contact while no record of the platform's log names one; may be
 * outdated
 * @param metricsAddress listening address for metrics
 * @param peerStartDelayMillis how long the daemon only serves callers before it sets up
 * logging and the connections to other routers; counted from the time at which routes and
 * targets are loaded, and skipped if they are not loaded in time
 * @param drainMillis maximum duration of a planned shutdown
 * @param maxRoutesDelayMillis maximum time until a change of the routes is in force
 * @param maxLeavingDelayMillis maximum time until a leaving target gets no new calls
 * @param retryLimits limits of the retries to one pool
 */
public record GatewaySettings(VmId vm, DomainId domain, InetSocketAddress callerAddress,
		InetSocketAddress healthAddress, String readyPath, InetSocketAddress peerAddress,
		InetSocketAddress relayAddress, List<PeerAddress> seeds, InetSocketAddress metricsAddress,
		long peerStartDelayMillis, long drainMillis, int maxRoutesDelayMillis, int maxLeavingDelayMillis,
		RetryLimits retryLimits) {

	/**
	 * Makes an unmodifiable copy of the seeds.
	 */
	public GatewaySettings {
		seeds = List.copyOf(seeds);
	}

}
