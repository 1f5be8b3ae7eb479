package org.mustardlane.gateway.target;

import java.util.Optional;

import io.netty.handler.codec.http.HttpRequest;

/**
 * Creates the request to a target at the moment it is sent, because the process may have
 * been paused since the target was chosen.
 */
@FunctionalInterface
public interface RequestSource {

	/**
	 * Creates the head of the request.
	 * @return the head without framing headers, or empty if the call must not be sent any
	 * more
	 */
	Optional<HttpRequest> createRequest();

}
