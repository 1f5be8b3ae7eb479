package org.mustardlane.cli;

import java.util.Locale;

/**
 * The flags of the program, each of which an environment variable may give as well.
 */
enum CliOption {

	/** Routers to talk to. */
	ROUTER("router", true, "operator address of a router, host:port; repeatable or separated by commas"),

	/** Form of the output. */
	OUTPUT("output", true, "text or json (default text)"),

	/** Patience. */
	TIMEOUT_MILLIS("timeout-millis", true, "longest wait for one command (default 10000)"),

	/** Who publishes. */
	AUTHOR("author", true, "publish: who makes the change"),

	/** Name of the change. */
	CHANGE_ID("change-id", true, "publish: names the change; give it again to retry (default a random one)"),

	/** A revision. */
	REVISION("revision", true, "show: the revision (default the newest)"),

	/** A drain limit. */
	DRAIN_MILLIS("drain-millis", true, "drain: longest wait for requests in flight (default that of the router)"),

	/** A request. */
	REQUEST("request", true, "timeline: only events of this request"),

	/** Where the HTML goes. */
	HTML("html", true, "timeline: write one HTML file instead of text"),

	/** Certificate. */
	TLS_CERTIFICATE("tls-certificate", true, "client certificate chain in PEM"),

	/** Key of the certificate. */
	TLS_KEY("tls-key", true, "private key in PEM of the certificate"),

	/** Trusted certificates. */
	TLS_TRUST("tls-trust", true, "certificates in PEM that routers are trusted by; without it, plain text"),

	/** Help. */
	HELP("help", false, "print this help"),

	/** Version. */
	VERSION("version", false, "print the version");

	private static final String VARIABLE_PREFIX = "MUSTARDLANE_";

	private final String flag;

	private final boolean valued;

	private final String description;

	CliOption(String flag, boolean valued, String description) {
		this.flag = flag;
		this.valued = valued;
		this.description = description;
	}

	/**
	 * Returns the long name of the flag.
	 * @return the name without dashes
	 */
	String flag() {
		return this.flag;
	}

	/**
	 * Returns whether the flag takes a value.
	 * @return whether it does
	 */
	boolean isValued() {
		return this.valued;
	}

	/**
	 * Returns what the flag is for.
	 * @return the description, with the variable
	 */
	String description() {
		return this.valued ? this.description + "; variable " + variable() : this.description;
	}

	/**
	 * Returns the name of the environment variable.
	 * @return the name
	 */
	String variable() {
		return VARIABLE_PREFIX + this.flag.toUpperCase(Locale.ROOT).replace('-', '_');
	}

}
