package org.mustardlane.cli;

import java.util.Locale;

/**
 * The flags of the program. A flag that takes a value can also be set by its environment
 * variable.
 */
enum CliOption {

	/** Operator addresses of the routers to connect to. */
	ROUTER("router", true, "operator address of a router, host:port; repeatable or separated by commas"),

	/** Output format. */
	OUTPUT("output", true, "text or json (default text)"),

	/** Timeout of a command. */
	TIMEOUT_MILLIS("timeout-millis", true, "timeout of the command (default 10000)"),

	/** Author of a published change. */
	AUTHOR("author", true, "publish: author of the change"),

	/** Id of a published change. */
	CHANGE_ID("change-id", true, "publish: id of the change; use the same id to retry (default a random id)"),

	/** Revision of the catalogue to show. */
	REVISION("revision", true, "show: revision to print (default the newest)"),

	/** Time limit for a drain. */
	DRAIN_MILLIS("drain-millis", true, "drain: time limit for requests in flight (default set by the router)"),

	/** Request id that filters the timeline. */
	REQUEST("request", true, "timeline: only events of this request"),

	/** HTML file to write the timeline to. */
	HTML("html", true, "timeline: write an HTML file instead of text"),

	/** File with the client certificate chain. */
	TLS_CERTIFICATE("tls-certificate", true, "client certificate chain in PEM"),

	/** File with the private key of the client certificate. */
	TLS_KEY("tls-key", true, "private key of the client certificate in PEM"),

	/** File with the trusted certificates. */
	TLS_TRUST("tls-trust", true, "trusted certificates in PEM for the routers; without the TLS flags, plain text"),

	/** Prints the help text. */
	HELP("help", false, "print this help"),

	/** Prints the version. */
	VERSION("version", false, "print the version");

	private static final String VARIABLE_PREFIX = "MUSTARDLANE_";

	private final String flag;

	private final boolean takesValue;

	private final String description;

	CliOption(String flag, boolean takesValue, String description) {
		this.flag = flag;
		this.takesValue = takesValue;
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
	 * @return {@code true} if the flag takes a value
	 */
	boolean takesValue() {
		return this.takesValue;
	}

	/**
	 * Returns the description of the flag for the help text.
	 * @return the description, with the environment variable of a flag that takes a value
	 */
	String description() {
		return this.takesValue ? this.description + "; environment variable " + variable() : this.description;
	}

	/**
	 * Returns the name of the environment variable.
	 * @return the name
	 */
	String variable() {
		return VARIABLE_PREFIX + this.flag.toUpperCase(Locale.ROOT).replace('-', '_');
	}

}
