package org.mustardlane.core.model.order;

/**
 * Result of an order to an engine.
 */
public enum OrderResult {

	/**
	 * The engine has executed the order.
	 */
	DONE,
	/**
	 * The engine has seen a higher fencing number and did not execute the order.
	 */
	REFUSED,
	/**
	 * The engine failed to execute the order.
	 */
	FAILED,
	/**
	 * The reply was lost, so the order may have been executed.
	 */
	UNKNOWN,
	/**
	 * The order was not sent: its send deadline under the lease had passed, the engine
	 * was not in the catalogue or its pool could not spare the engine.
	 */
	NOT_SENT

}
