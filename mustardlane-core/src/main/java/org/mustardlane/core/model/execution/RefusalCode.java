package org.mustardlane.core.model.execution;

/**
 * Reason for which a request was refused. The codes are part of the API for callers.
 */
public enum RefusalCode {

	/**
	 * The request is malformed.
	 */
	BAD_REQUEST,

	/**
	 * The organisation or its key is wrong.
	 */
	UNAUTHORIZED,

	/**
	 * The catalogue has no such entry.
	 */
	UNKNOWN_ENTRY,

	/**
	 * The body exceeds the size limit of the entry.
	 */
	BODY_TOO_LARGE,

	/**
	 * The entry is non-idempotent and the request has no idempotency key.
	 */
	KEY_REQUIRED,

	/**
	 * The idempotency key was already used with a different body.
	 */
	KEY_REUSED,

	/**
	 * The deadline cannot be met at the current load.
	 */
	OVERLOADED,

	/**
	 * The organisation has reached its concurrency limit.
	 */
	LIMIT_REACHED,

	/**
	 * No target of the pool can be reached.
	 */
	NO_TARGET,

	/**
	 * The log cannot be reached, so the request cannot be claimed.
	 */
	LOG_UNAVAILABLE,

	/**
	 * The deadline passed before the request was sent to a target.
	 */
	DEADLINE_PASSED,

	/**
	 * The router is draining.
	 */
	DRAINING,

	/**
	 * The router has not read the catalogue yet.
	 */
	NOT_READY,

	/**
	 * The target failed and the request cannot be retried.
	 */
	TARGET_FAILED,

	/**
	 * Another router holds the claim and cannot be reached.
	 */
	HOLDER_GONE

}
