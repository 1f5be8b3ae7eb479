package org.mustardlane.cli;

import java.util.Optional;

/**
 * The operator address of a router.
 *
 * @param host IP address or host name
 * @param port TCP port
 */
record RouterAddress(String host, int port) {

	private static final int MAX_PORT = 65_535;

	/**
	 * Parses an address.
	 * @param text host and port, separated by a colon
	 * @return the address, or empty if the text is not a valid address
	 */
	static Optional<RouterAddress> parse(String text) {
		int colon = text.lastIndexOf(':');
		String port = text.substring(colon + 1);
		if (colon < 1 || !port.matches("\\d{1,5}")) {
			return Optional.empty();
		}
		int number = Integer.parseInt(port);
		String host = text.substring(0, colon).replaceAll("^\\[|]$", "");
		return (number >= 1 && number <= MAX_PORT) ? Optional.of(new RouterAddress(host, number)) : Optional.empty();
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
