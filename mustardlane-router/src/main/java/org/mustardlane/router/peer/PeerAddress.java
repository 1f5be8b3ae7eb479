package org.mustardlane.router.peer;

/**
 * The network address at which a router accepts connections from other routers.
 *
 * @param host IP address
 * @param port TCP port
 */
public record PeerAddress(String host, int port) {

	// The generated methods call method handles, which cost more than the comparison
	// itself in code that the optimizing compiler has not compiled.
	@Override
	public boolean equals(Object other) {
		return this == other
				|| (other instanceof PeerAddress that && this.host.equals(that.host) && this.port == that.port);
	}

	@Override
	public int hashCode() {
		return 31 * this.host.hashCode() + this.port;
	}

}
