package org.mustardlane.core.model.execution;

/**
 * Why a request was not answered; part of the contract with callers.
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
	 * The body is above the limit of the entry.
	 */
	BODY_TOO_LARGE,

	/**
	 * The entry is non-idempotent and the request has no idempotency key.
	 */
	KEY_REQUIRED,

	/**
	 * The idempotency key was used with another body.
	 */
	KEY_REUSED,

	/**
	 * The deadline can not be met at the present load.
	 */
	OVERLOADED,

	/**
	 * The organisation is at its limit.
	 */
	LIMIT_REACHED,

	/**
	 * No target of the pool can be reached.
	 */
	NO_TARGET,

	/**
	 * The log can not be reached, so the request can not be claimed.
	 */
	LOG_UNAVAILABLE,

	/**
	 * The deadline passed before the request was sent to a target.
	 */
	DEADLINE_PASSED,

	/**
	 * The router is stopping.
	 */
	DRAINING,

	/**
	 * The router has not read the catalogue yet.
	 */
	NOT_READY,

	/**
	 * The target failed and the request can not be repeated.
	 */
	TARGET_FAILED,

	/**
	 * Another router holds the claim and can not be reached.
	 */
	HOLDER_GONE

}
