package org.mustardlane.core.model.order;

/**
 * What became of an order.
 */
public enum OrderResult {

	/**
	 * The engine has carried the order out.
	 */
	DONE,
	/**
	 * The engine has seen a higher fencing number; nothing was done.
	 */
	REFUSED,
	/**
	 * The engine could not carry the order out.
	 */
	FAILED,
	/**
	 * The answer was lost.
	 */
	UNKNOWN,
	/**
	 * The order was not sent, since the lease had ended.
	 */
	NOT_SENT

}
