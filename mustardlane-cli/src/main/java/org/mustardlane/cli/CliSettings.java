package org.mustardlane.cli;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The settings that all commands share.
 *
 * @param routers the routers to talk to
 * @param json whether the output is JSON
 * @param timeoutMillis longest wait for one command
 * @param tls certificates, or empty for plain text
 */
record CliSettings(List<RouterAddress> routers, boolean json, long timeoutMillis, Optional<TlsFiles> tls) {

	private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;

	private static final String JSON = "json";

	private static final String TEXT = "text";

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	CliSettings {
		routers = List.copyOf(routers);
	}

	/**
	 * Reads the settings; what is wrong is collected in the arguments.
	 * @param arguments the command line
	 * @return the settings
	 */
	static CliSettings read(CliArguments arguments) {
		String output = arguments.text(CliOption.OUTPUT).orElse(TEXT);
		arguments.require(output.equals(TEXT) || output.equals(JSON),
				"--output: '%s' is neither text nor json".formatted(output));
		List<RouterAddress> routers = arguments.texts(CliOption.ROUTER)
			.stream()
			.flatMap((text) -> address(arguments, text))
			.toList();
		return new CliSettings(routers, output.equals(JSON),
				arguments.number(CliOption.TIMEOUT_MILLIS, 1, DEFAULT_TIMEOUT_MILLIS), tls(arguments));
	}

	private static Stream<RouterAddress> address(CliArguments arguments, String text) {
		Optional<RouterAddress> address = RouterAddress.parse(text);
		arguments.require(address.isPresent(), "--router: '%s' is not host:port".formatted(text));
		return address.stream();
	}

	private static Optional<TlsFiles> tls(CliArguments arguments) {
		Optional<String> certificate = arguments.text(CliOption.TLS_CERTIFICATE);
		Optional<String> key = arguments.text(CliOption.TLS_KEY);
		Optional<String> trust = arguments.text(CliOption.TLS_TRUST);
		long given = Stream.of(certificate, key, trust).filter(Optional::isPresent).count();
		arguments.require(given == 0 || given == 3,
				"--tls-certificate, --tls-key, --tls-trust: give all three or none");
		return (given == 3) ? Optional.of(new TlsFiles(certificate.get(), key.get(), trust.get())) : Optional.empty();
	}

	/**
	 * The files for a connection with certificates on both sides.
	 *
	 * @param certificate client certificate chain
	 * @param key its private key
	 * @param trust trusted certificates
	 */
	record TlsFiles(String certificate, String key, String trust) {

	}

}
