package org.mustardlane.gateway.wire;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;

import org.mustardlane.core.placement.LoadSample;

/**
 * Head of the response that a target sent.
 *
 * @param status the HTTP status
 * @param requestId id of the call that the response belongs to, empty if the response has
 * none
 * @param notExecuted whether the target states that it did not execute the call
 * @param sealed whether the target has signed the response
 * @param contentEncoded whether the body has a content encoding
 * @param eventStream whether the body is a stream of server-sent events
 * @param load load that the target reports, empty if it reports none
 * @param limitPerSecond requests per second that the target accepts from all routers
 * together, empty if it reports no limit
 * @param fatalRefusalsPerSecond number of refusals in one second that bring the target
 * down, empty if it does not say so
 * @param leaving whether the target states that it leaves
 * @param pauseMillis how long the target wants no further requests from this router,
 * empty if it does not say so
 * @param headers headers to forward to the caller
 */
public record ResponseHead(int status, Optional<String> requestId, boolean notExecuted, boolean sealed,
		boolean contentEncoded, boolean eventStream, Optional<LoadSample> load, OptionalDouble limitPerSecond,
		OptionalInt fatalRefusalsPerSecond, boolean leaving, OptionalLong pauseMillis, HttpHeaders headers) {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECT = 300;

	private static final int FIRST_SERVER_ERROR = 500;

	/**
	 * Returns this head as the response to another call.
	 * @param otherRequestId id of the call, empty if it is not known
	 * @return the head, which shares its headers with this one
	 */
	public ResponseHead withRequestId(Optional<String> otherRequestId) {
		return new ResponseHead(this.status, otherRequestId, this.notExecuted, this.sealed, this.contentEncoded,
				this.eventStream, this.load, this.limitPerSecond, this.fatalRefusalsPerSecond, this.leaving,
				this.pauseMillis, this.headers);
	}

	/**
	 * Returns whether the call succeeded.
	 * @return true for a status from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECT;
	}

	/**
	 * Returns whether the target reports a server error.
	 * @return true for a status of 500 or above
	 */
	public boolean isServerError() {
		return this.status >= FIRST_SERVER_ERROR;
	}

}
