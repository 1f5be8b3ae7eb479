package org.mustardlane.gateway.wire;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Reads and writes the headers of one platform.
 *
 * <p>
 * Implementations hold no state and decide nothing.
 */
public interface WireDialect {

	/**
	 * Reads the head of a call.
	 * @param request the request as it arrived
	 * @return what it says
	 * @throws MalformedCallException if a header is missing, doubled or not valid
	 */
	CallHead readCall(HttpRequest request) throws MalformedCallException;

	/**
	 * Makes the head of a request to a target from that of a call. Headers that concern
	 * one connection only, and those that only routers may set, are not passed on.
	 * @param call the request as it arrived
	 * @param dispatch what the router adds
	 * @return the head; its framing headers are still to be set
	 */
	HttpRequest writeDispatch(HttpRequest call, Dispatch dispatch);

	/**
	 * Reads the head of an answer.
	 * @param response the response as it arrived
	 * @param nowMillis the time
	 * @return what it says
	 */
	AnswerHead readAnswer(HttpResponse response, long nowMillis);

}
