package org.mustardlane.router;

/**
 * The TCP ports that a router listens on.
 *
 * @param callerPort port for callers
 * @param peerPort port for other routers
 * @param operatorPort port for operators
 * @param metricsPort port for metrics and health probes
 */
public record RouterPorts(int callerPort, int peerPort, int operatorPort, int metricsPort) {

}
