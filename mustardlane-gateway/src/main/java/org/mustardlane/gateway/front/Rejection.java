package org.mustardlane.gateway.front;

import java.util.OptionalLong;

/**
 * Reason and status for a call that ends with a response of the router itself instead of
 * a response of a target.
 *
 * @param status the HTTP status
 * @param reason reason, sent to the caller and written to the log
 * @param retryAfterMillis delay after which the caller may retry, empty if a retry would
 * not help
 */
public record Rejection(int status, String reason, OptionalLong retryAfterMillis) {

	/**
	 * Creates a rejection that a retry would not change.
	 * @param status the HTTP status
	 * @param reason reason of the rejection
	 * @return the rejection
	 */
	public static Rejection permanent(int status, String reason) {
		return new Rejection(status, reason, OptionalLong.empty());
	}

	/**
	 * Creates a rejection after which the caller may retry.
	 * @param status the HTTP status
	 * @param reason reason of the rejection
	 * @param retryAfterMillis delay after which the caller may retry
	 * @return the rejection
	 */
	public static Rejection temporary(int status, String reason, long retryAfterMillis) {
		return new Rejection(status, reason, OptionalLong.of(retryAfterMillis));
	}

}
