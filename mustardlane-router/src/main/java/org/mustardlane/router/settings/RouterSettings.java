package org.mustardlane.router.settings;

import java.nio.file.Path;
import java.util.Optional;

import org.mustardlane.core.admission.AdmissionPolicy;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * The settings of the router daemon.
 *
 * @param vm the VM that the router runs on
 * @param domain failure domain of the VM
 * @param host IP address to listen on and to announce to other routers
 * @param ports TCP ports
 * @param platformUrl the URL of the platform
 * @param workers number of threads that handle events
 * @param seed seed of random numbers, 0 to use the start time
 * @param policy decides how the capacity of targets is granted
 * @param tickMillis time between two ticks
 * @param drainMillis maximum time to wait for requests in flight during a drain
 * @param limits limits of a caller's connection
 * @param tls the TLS files for the peer and operator ports, empty for plain text
 */
public record RouterSettings(VmId vm, DomainId domain, String host, Ports ports, String platformUrl, int workers,
		long seed, AdmissionPolicy policy, int tickMillis, int drainMillis, Limits limits, Optional<TlsFiles> tls) {

	/**
	 * The TCP ports to listen on; 0 selects a free port.
	 *
	 * @param caller port for callers
	 * @param peer port for other routers
	 * @param advertisedPeer peer port that is announced to other routers, 0 for the port
	 * listened on
	 * @param operator port for operators
	 * @param metrics port for metrics and health probes
	 */
	public record Ports(int caller, int peer, int advertisedPeer, int operator, int metrics) {

	}

	/**
	 * Limits of a caller's connection.
	 *
	 * @param idleMillis idle timeout: maximum time without progress
	 * @param lineBytes maximum length of a request line
	 * @param headerBytes maximum total size of the headers of a request
	 * @param bodyBytes maximum size of a request body
	 */
	public record Limits(int idleMillis, int lineBytes, int headerBytes, int bodyBytes) {

	}

	/**
	 * The TLS files.
	 *
	 * @param certificate certificate chain in PEM
	 * @param key private key in PEM
	 * @param trust trusted certificates in PEM
	 */
	public record TlsFiles(Path certificate, Path key, Path trust) {

	}

}
