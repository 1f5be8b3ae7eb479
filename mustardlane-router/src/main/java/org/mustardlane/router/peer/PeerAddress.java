package org.mustardlane.router.peer;

/**
 * The address on which another router listens for routers.
 *
 * @param host IP address
 * @param port TCP port
 */
public record PeerAddress(String host, int port) {

}
