package org.mustardlane.router.settings;

import java.util.Locale;
import java.util.Optional;

/**
 * The settings of the router daemon. Each can be set by a command-line flag or an
 * environment variable.
 */
enum RouterOption {

	/**
	 * Name of the VM that the router runs on.
	 */
	VM("vm", "name of this VM", null),

	/**
	 * Failure domain of the VM.
	 */
	DOMAIN("domain", "failure domain of this VM", null),

	/**
	 * IP address to listen on.
	 */
	HOST("host", "IP address to listen on and to announce to other routers", "127.0.0.1"),

	/**
	 * Port for callers.
	 */
	CALLER_PORT("caller-port", "TCP port for callers, 0 for a free one", "0"),

	/**
	 * Port for other routers.
	 */
	PEER_PORT("peer-port", "TCP port for other routers, 0 for a free one", "0"),

	/**
	 * Peer port that is announced to other routers.
	 */
	ADVERTISED_PEER_PORT("advertised-peer-port", "TCP port to announce to other routers, 0 for the peer port", "0"),

	/**
	 * Port for operators.
	 */
	OPERATOR_PORT("operator-port", "TCP port for operators, 0 for a free one", "0"),

	/**
	 * Port for metrics.
	 */
	METRICS_PORT("metrics-port", "TCP port for metrics and health, 0 for a free one", "0"),

	/**
	 * URL of the platform.
	 */
	PLATFORM_URL("platform-url", "URL of the platform, http://host:port", null),

	/**
	 * Number of worker threads.
	 */
	WORKERS("workers", "number of threads that handle events", "2"),

	/**
	 * Seed of the random number generator.
	 */
	SEED("seed", "seed of random numbers, 0 to use the start time", "0"),

	/**
	 * Admission policy, which decides how capacity of targets is granted.
	 */
	POLICY("policy", "how the capacity of targets is granted: bounded, or naive as a baseline for measurements",
			"bounded"),

	/**
	 * Time between two ticks.
	 */
	TICK_MILLIS("tick-millis", "milliseconds between two ticks", "10"),

	/**
	 * Maximum time to wait for requests in flight during a drain.
	 */
	DRAIN_MILLIS("drain-millis", "maximum milliseconds to wait for requests in flight when stopping", "120000"),

	/**
	 * Idle timeout of caller connections.
	 */
	IDLE_MILLIS("idle-millis", "maximum milliseconds without progress on a caller's connection", "30000"),

	/**
	 * Maximum length of a request line.
	 */
	LINE_LIMIT_BYTES("line-limit-bytes", "maximum length of a request line", "4096"),

	/**
	 * Maximum total size of the headers of a request.
	 */
	HEADER_LIMIT_BYTES("header-limit-bytes", "maximum total size of the headers of a request", "16384"),

	/**
	 * Maximum size of a request body.
	 */
	BODY_LIMIT_BYTES("body-limit-bytes", "maximum size of a request body", "1048576"),

	/**
	 * Certificate for the peer and operator ports.
	 */
	TLS_CERTIFICATE("tls-certificate", "certificate chain in PEM for the peer and operator ports", ""),

	/**
	 * Private key of the certificate.
	 */
	TLS_KEY("tls-key", "private key in PEM of the certificate", ""),

	/**
	 * Certificates that other routers and operators are verified against.
	 */
	TLS_TRUST("tls-trust", "trusted certificates in PEM for other routers and operators", ""),

	/**
	 * Allows non-loopback addresses without TLS.
	 */
	INSECURE_BIND("insecure-bind", "true to allow non-loopback addresses for the peer and operator ports without TLS",
			"false");

	private static final String ENVIRONMENT_PREFIX = "MUSTARDLANE_";

	private final String flag;

	private final String description;

	private final Optional<String> defaultValue;

	RouterOption(String flag, String description, @org.jspecify.annotations.Nullable String defaultValue) {
		this.flag = flag;
		this.description = description;
		this.defaultValue = Optional.ofNullable(defaultValue);
	}

	/**
	 * Returns the long name of the command-line flag.
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
		return ENVIRONMENT_PREFIX + this.flag.toUpperCase(Locale.ROOT).replace('-', '_');
	}

	String description() {
		return this.description;
	}

	/**
	 * Returns the default value.
	 * @return the default value, or empty if the setting is required
	 */
	Optional<String> defaultValue() {
		return this.defaultValue;
	}

	/**
	 * Returns whether the value is redacted in logs.
	 * @return whether the value is a secret or the path of one
	 */
	boolean isSecret() {
		return this == TLS_KEY;
	}

}
