package org.mustardlane.router.peer;

/**
 * The network address at which a router accepts connections from other routers.
 *
 * @param host IP address
 * @param port TCP port
 */
public record PeerAddress(String host, int port) {

}
