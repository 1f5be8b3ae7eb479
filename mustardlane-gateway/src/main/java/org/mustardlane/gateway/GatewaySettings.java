package org.mustardlane.gateway;

import java.net.InetSocketAddress;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.gateway.exchange.RetryLimits;

/**
 * The checked settings of the daemon.
 *
 * @param vm name of the VM
 * @param domain its failure domain
 * @param callerAddress where callers are served
 * @param healthAddress where readiness is asked for
 * @param readyPath path under which readiness is asked for
 * @param peerAddress where other routers are served
 * @param metricsAddress where metrics are read
 * @param memoryBytes memory that the process may use
 * @param drainMillis how long a planned stop may take
 * @param retryLimits how many repeats a pool bears
 */
public record GatewaySettings(VmId vm, DomainId domain, InetSocketAddress callerAddress,
		InetSocketAddress healthAddress, String readyPath, InetSocketAddress peerAddress,
		InetSocketAddress metricsAddress, long memoryBytes, long drainMillis, RetryLimits retryLimits) {

}
