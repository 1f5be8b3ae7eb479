package org.mustardlane.gateway;

import java.net.InetSocketAddress;
import java.util.List;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.retry.RetryLimits;
import org.mustardlane.router.peer.PeerAddress;

/**
 * The checked settings of the daemon.
 *
 * @param vm name of the VM
 * @param domain its failure domain
 * @param callerAddress where callers are served
 * @param healthAddress where readiness is asked for
 * @param readyPath path under which readiness is asked for
 * @param peerAddress where other routers are served
 * @param seeds other routers to ask while the platform's log names none; may be stale
 * @param metricsAddress where metrics are read
 * @param serveFirstMillis how long callers are served after the start before the log and
 * other routers are set up
 * @param drainMillis how long a planned stop may take
 * @param changeBoundMillis within which a change of the routes must be in force
 * @param leavingBoundMillis within which a leaving target must get no new work
 * @param retryLimits how many repeats a pool bears
 */
public record GatewaySettings(VmId vm, DomainId domain, InetSocketAddress callerAddress,
		InetSocketAddress healthAddress, String readyPath, InetSocketAddress peerAddress, List<PeerAddress> seeds,
		InetSocketAddress metricsAddress, long serveFirstMillis, long drainMillis, int changeBoundMillis,
		int leavingBoundMillis, RetryLimits retryLimits) {

	/**
	 * Copies the seeds.
	 */
	public GatewaySettings {
		seeds = List.copyOf(seeds);
	}

}
