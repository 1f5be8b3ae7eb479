package org.mustardlane.router.settings;

import java.nio.file.Path;
import java.util.Optional;

import org.mustardlane.core.admission.AdmissionPolicy;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * The settings of the daemon.
 *
 * @param vm the VM
 * @param domain its failure domain
 * @param host IP address to listen on and to be reached at
 * @param ports TCP ports
 * @param platformUrl address of the platform
 * @param workers threads that handle events
 * @param seed seed of random numbers, 0 to take the start time
 * @param policy how the capacity of targets is granted
 * @param tickMillis time between two ticks
 * @param drainMillis longest time that a stop waits for requests in flight
 * @param limits what a caller's connection may use
 * @param tls files for the peer and operator ports, empty for plain text
 */
public record RouterSettings(VmId vm, DomainId domain, String host, Ports ports, String platformUrl, int workers,
		long seed, AdmissionPolicy policy, int tickMillis, int drainMillis, Limits limits, Optional<TlsFiles> tls) {

	/**
	 * The TCP ports; 0 takes a free one.
	 *
	 * @param caller for callers
	 * @param peer for other routers
	 * @param advertisedPeer what other routers are told, 0 for the peer port
	 * @param operator for operators
	 * @param metrics for metrics and health
	 */
	public record Ports(int caller, int peer, int advertisedPeer, int operator, int metrics) {

	}

	/**
	 * What a caller's connection may use.
	 *
	 * @param idleMillis longest time without progress
	 * @param lineBytes longest request line
	 * @param headerBytes largest set of headers
	 * @param bodyBytes largest body
	 */
	public record Limits(int idleMillis, int lineBytes, int headerBytes, int bodyBytes) {

	}

	/**
	 * The files for TLS.
	 *
	 * @param certificate certificate chain in PEM
	 * @param key private key in PEM
	 * @param trust trusted certificates in PEM
	 */
	public record TlsFiles(Path certificate, Path key, Path trust) {

	}

}
