package org.mustardlane.router;

/**
 * The TCP ports that a router listens on.
 *
 * @param callerPort for callers
 * @param peerPort for other routers
 * @param operatorPort for operators
 * @param metricsPort for metrics and health
 */
public record RouterPorts(int callerPort, int peerPort, int operatorPort, int metricsPort) {

}
