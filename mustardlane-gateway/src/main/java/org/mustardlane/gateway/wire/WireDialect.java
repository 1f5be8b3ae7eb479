package org.mustardlane.gateway.wire;

import java.util.Optional;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Reads and writes the HTTP headers of one platform.
 *
 * <p>
 * Implementations are stateless and only translate; routing and retries are decided
 * elsewhere.
 */
public interface WireDialect {

	/**
	 * Reads the head of a call.
	 * @param request the request of the caller
	 * @return the head of the call
	 * @throws MalformedCallException if a header is missing, repeated or invalid
	 */
	CallHead readCall(HttpRequest request) throws MalformedCallException;

	/**
	 * Creates the head of the request to a target from the request of the caller.
	 * Hop-by-hop headers and headers that only routers may set are not copied.
	 * @param call the request of the caller
	 * @param dispatch data that the router adds
	 * @return the head of the request, without framing headers
	 */
	HttpRequest createTargetRequest(HttpRequest call, Dispatch dispatch);

	/**
	 * Creates the head of the request to a router that takes the call over. All headers
	 * of the caller are copied, but for hop-by-hop headers.
	 * @param call the request of the caller
	 * @param remainingMillis time left to complete the call
	 * @param resumeAfterEventId id of the last event that the caller has received, empty
	 * to leave what the caller has asked for
	 * @return the head of the request, without framing headers
	 */
	HttpRequest createRelayRequest(HttpRequest call, long remainingMillis, Optional<String> resumeAfterEventId);

	/**
	 * Reads the head of a response.
	 * @param response the response of the target
	 * @param nowMillis current time
	 * @return the head of the response
	 */
	ResponseHead readResponse(HttpResponse response, long nowMillis);

}
