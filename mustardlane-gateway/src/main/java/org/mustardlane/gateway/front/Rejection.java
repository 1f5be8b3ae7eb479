package org.mustardlane.gateway.front;

import java.util.OptionalLong;

/**
 * Why a call ends without having been sent to a target.
 *
 * @param status status of the response
 * @param reason what is wrong, for the caller and the log
 * @param retryAfterMillis when to come back, empty where that would not help
 */
public record Rejection(int status, String reason, OptionalLong retryAfterMillis) {

	/**
	 * Creates a rejection that a repetition does not change.
	 * @param status status of the response
	 * @param reason what is wrong
	 * @return the rejection
	 */
	public static Rejection permanent(int status, String reason) {
		return new Rejection(status, reason, OptionalLong.empty());
	}

	/**
	 * Creates a rejection that says when to come back.
	 * @param status status of the response
	 * @param reason what is wrong
	 * @param retryAfterMillis when to come back
	 * @return the rejection
	 */
	public static Rejection temporary(int status, String reason, long retryAfterMillis) {
		return new Rejection(status, reason, OptionalLong.of(retryAfterMillis));
	}

}
