package org.mustardlane.router.settings;

import java.util.Locale;
import java.util.Optional;

/**
 * The settings of the daemon, each as a flag and an environment variable.
 */
enum RouterOption {

	/**
	 * Name of the VM.
	 */
	VM("vm", "name of this VM", null),

	/**
	 * Failure domain.
	 */
	DOMAIN("domain", "failure domain of this VM", null),

	/**
	 * Address to listen on.
	 */
	HOST("host", "IP address to listen on and to be reached at", "127.0.0.1"),

	/**
	 * Port for callers.
	 */
	CALLER_PORT("caller-port", "TCP port for callers, 0 for a free one", "0"),

	/**
	 * Port for other routers.
	 */
	PEER_PORT("peer-port", "TCP port for other routers, 0 for a free one", "0"),

	/**
	 * Port that other routers are told.
	 */
	ADVERTISED_PEER_PORT("advertised-peer-port", "TCP port that other routers are told, 0 for the peer port", "0"),

	/**
	 * Port for operators.
	 */
	OPERATOR_PORT("operator-port", "TCP port for operators, 0 for a free one", "0"),

	/**
	 * Port for metrics.
	 */
	METRICS_PORT("metrics-port", "TCP port for metrics and health, 0 for a free one", "0"),

	/**
	 * Address of the platform.
	 */
	PLATFORM_URL("platform-url", "address of the platform, http://host:port", null),

	/**
	 * Number of workers.
	 */
	WORKERS("workers", "threads that handle events", "2"),

	/**
	 * Seed of random numbers.
	 */
	SEED("seed", "seed of random numbers, 0 to take the start time", "0"),

	/**
	 * How shards are granted.
	 */
	POLICY("policy", "how the capacity of targets is granted: bounded, or naive as a baseline of measurements",
			"bounded"),

	/**
	 * Time between two ticks.
	 */
	TICK_MILLIS("tick-millis", "time between two ticks", "10"),

	/**
	 * Longest drain.
	 */
	DRAIN_MILLIS("drain-millis", "longest time that a stop waits for requests in flight", "120000"),

	/**
	 * Idle limit.
	 */
	IDLE_MILLIS("idle-millis", "longest time without progress on a caller's connection", "30000"),

	/**
	 * Limit on request lines.
	 */
	LINE_LIMIT_BYTES("line-limit-bytes", "longest request line", "4096"),

	/**
	 * Limit on headers.
	 */
	HEADER_LIMIT_BYTES("header-limit-bytes", "largest set of request headers", "16384"),

	/**
	 * Limit on bodies.
	 */
	BODY_LIMIT_BYTES("body-limit-bytes", "largest request body", "1048576"),

	/**
	 * Certificate for the peer and operator ports.
	 */
	TLS_CERTIFICATE("tls-certificate", "certificate chain in PEM for the peer and operator ports", ""),

	/**
	 * Key of the certificate.
	 */
	TLS_KEY("tls-key", "private key in PEM of the certificate", ""),

	/**
	 * Trusted certificates.
	 */
	TLS_TRUST("tls-trust", "certificates in PEM that other routers and operators are trusted by", ""),

	/**
	 * Allows plain text beyond loopback.
	 */
	INSECURE_BIND("insecure-bind", "true to let the peer and operator ports listen beyond loopback without TLS",
			"false");

	private static final String VARIABLE_PREFIX = "MUSTARDLANE_";

	private final String flag;

	private final String description;

	private final Optional<String> fallback;

	RouterOption(String flag, String description, @org.jspecify.annotations.Nullable String fallback) {
		this.flag = flag;
		this.description = description;
		this.fallback = Optional.ofNullable(fallback);
	}

	/**
	 * Returns the long name of the flag.
	 * @return the name without dashes
	 */
	String flag() {
		return this.flag;
	}

	/**
	 * Returns the name of the environment variable.
	 * @return the name
	 */
	String variable() {
		return VARIABLE_PREFIX + this.flag.toUpperCase(Locale.ROOT).replace('-', '_');
	}

	String description() {
		return this.description;
	}

	/**
	 * Returns the value where none is given.
	 * @return the value, or empty where one must be given
	 */
	Optional<String> fallback() {
		return this.fallback;
	}

	/**
	 * Tells whether the value is kept out of logs.
	 * @return whether it is a secret or the place of one
	 */
	boolean isSecret() {
		return this == TLS_KEY;
	}

}
