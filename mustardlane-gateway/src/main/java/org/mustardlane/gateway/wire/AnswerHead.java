package org.mustardlane.gateway.wire;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

import org.mustardlane.core.placement.LoadSample;

/**
 * The head of an answer as a target sent it.
 *
 * @param status HTTP status
 * @param requestId name of the call that it answers, empty where it names none
 * @param notExecuted whether the target states that it did not run the call
 * @param sealed whether it bears the signature of its target
 * @param encoded whether its body is not the plain body of the target
 * @param eventStream whether its body is a stream of events
 * @param load load that the target states, empty where it states none
 * @param headers headers to pass on to the caller
 */
public record AnswerHead(int status, Optional<String> requestId, boolean notExecuted, boolean sealed, boolean encoded,
		boolean eventStream, Optional<LoadSample> load, HttpHeaders headers) {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECT = 300;

	private static final int FIRST_SERVER_ERROR = 500;

	/**
	 * Tells whether the call succeeded.
	 * @return true for a status from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECT;
	}

	/**
	 * Tells whether the target failed.
	 * @return true for a status from 500 on
	 */
	public boolean isServerError() {
		return this.status >= FIRST_SERVER_ERROR;
	}

}
