package org.mustardlane.router.peer;

/**
 * Where another router listens.
 *
 * @param host IP address
 * @param port TCP port
 */
public record PeerAddress(String host, int port) {

}
