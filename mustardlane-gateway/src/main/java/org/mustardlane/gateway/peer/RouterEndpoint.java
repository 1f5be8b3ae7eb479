package org.mustardlane.gateway.peer;

import java.util.Optional;
import java.util.OptionalInt;

import org.mustardlane.router.peer.PeerAddress;

/**
 * Where another router can be reached.
 *
 * @param gossip address for digests
 * @param callPort port at the same host at which the router takes calls over, empty if it
 * takes none over
 */
public record RouterEndpoint(PeerAddress gossip, OptionalInt callPort) {

	private static final String SEPARATOR = ",";

	/**
	 * Parses the text of {@link #toText}. Routers of earlier versions write no port for
	 * calls.
	 * @param text the text
	 * @return the endpoint, or empty if an address or a port is malformed
	 */
	public static Optional<RouterEndpoint> parse(String text) {
		int separator = text.indexOf(SEPARATOR);
		if (separator < 0) {
			return PeerGossip.parseAddress(text).map((gossip) -> new RouterEndpoint(gossip, OptionalInt.empty()));
		}
		Optional<PeerAddress> gossip = PeerGossip.parseAddress(text.substring(0, separator));
		return gossip.flatMap((address) -> PeerGossip
			.parseAddress(address.host() + ":" + text.substring(separator + SEPARATOR.length()))
			.map((calls) -> new RouterEndpoint(address, OptionalInt.of(calls.port()))));
	}

	/**
	 * Returns the text that other routers read from the platform's log.
	 * @return host and port for digests, and the port for calls
	 */
	public String toText() {
		String address = this.gossip.host() + ":" + this.gossip.port();
		return this.callPort.isPresent() ? address + SEPARATOR + this.callPort.getAsInt() : address;
	}

	/**
	 * Returns the address at which the router takes calls over.
	 * @return the address, or empty if it takes none over
	 */
	public Optional<PeerAddress> calls() {
		return this.callPort.isPresent() ? Optional.of(new PeerAddress(this.gossip.host(), this.callPort.getAsInt()))
				: Optional.empty();
	}

}
