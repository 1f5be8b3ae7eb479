package org.mustardlane.cli;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The settings that all commands share.
 *
 * @param routers operator addresses of the routers to connect to
 * @param json whether the output is JSON
 * @param timeoutMillis timeout of one command
 * @param tls files for TLS, or empty for plain text
 */
record CliSettings(List<RouterAddress> routers, boolean json, long timeoutMillis, Optional<TlsFiles> tls) {

	private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;

	private static final String JSON = "json";

	private static final String TEXT = "text";

	/**
	 * Copies the collections to make the record immutable.
	 */
	CliSettings {
		routers = List.copyOf(routers);
	}

	/**
	 * Reads the settings and adds findings for invalid ones to the arguments.
	 * @param arguments the arguments of the program
	 * @return the settings
	 */
	static CliSettings read(CliArguments arguments) {
		String output = arguments.value(CliOption.OUTPUT).orElse(TEXT);
		arguments.require(output.equals(TEXT) || output.equals(JSON),
				"--output: '%s' is neither text nor json".formatted(output));
		List<RouterAddress> routers = arguments.values(CliOption.ROUTER)
			.stream()
			.flatMap((text) -> parseAddress(arguments, text))
			.toList();
		return new CliSettings(routers, output.equals(JSON),
				arguments.longValue(CliOption.TIMEOUT_MILLIS, 1, DEFAULT_TIMEOUT_MILLIS), readTlsFiles(arguments));
	}

	private static Stream<RouterAddress> parseAddress(CliArguments arguments, String text) {
		Optional<RouterAddress> address = RouterAddress.parse(text);
		arguments.require(address.isPresent(), "--router: '%s' is not host:port".formatted(text));
		return address.stream();
	}

	private static Optional<TlsFiles> readTlsFiles(CliArguments arguments) {
		Optional<String> certificate = arguments.value(CliOption.TLS_CERTIFICATE);
		Optional<String> key = arguments.value(CliOption.TLS_KEY);
		Optional<String> trust = arguments.value(CliOption.TLS_TRUST);
		long tlsFlagCount = Stream.of(certificate, key, trust).filter(Optional::isPresent).count();
		arguments.require(tlsFlagCount == 0 || tlsFlagCount == 3,
				"--tls-certificate, --tls-key, --tls-trust: give all three or none");
		return (tlsFlagCount == 3) ? Optional.of(new TlsFiles(certificate.get(), key.get(), trust.get()))
				: Optional.empty();
	}

	/**
	 * The files for a TLS connection with certificates of client and server.
	 *
	 * @param certificate file with the client certificate chain
	 * @param key file with the private key of the client certificate
	 * @param trust file with the trusted certificates
	 */
	record TlsFiles(String certificate, String key, String trust) {

	}

}
