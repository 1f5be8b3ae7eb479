package org.mustardlane.core.order;

import org.mustardlane.core.model.order.EngineOrder;
import org.mustardlane.core.model.order.OrderResult;

/**
 * A record of the orders stream.
 */
sealed interface OrderRecord {

	/**
	 * Asks for the lease or prolongs it.
	 *
	 * @param holder the process that asks
	 * @param requestedAtMillis when it asked, by its own clock
	 */
	record Lease(String holder, long requestedAtMillis) implements OrderRecord {

	}

	/**
	 * States a decision.
	 *
	 * @param order the decision
	 * @param voidAfterMillis the decision counts for nothing after this time, by the
	 * clock of the log
	 */
	record Decision(EngineOrder order, long voidAfterMillis) implements OrderRecord {

	}

	/**
	 * Announces that a decision is about to be sent; whether it may is decided by the
	 * fold of the stream.
	 *
	 * @param decisionId the decision
	 * @param fencingNumber offset of the lease
	 * @param pool the pool of the engine
	 */
	record Issue(String decisionId, long fencingNumber, String pool) implements OrderRecord {

	}

	/**
	 * States what became of an issued decision.
	 *
	 * @param decisionId the decision
	 * @param fencingNumber offset of the lease under which it was issued
	 * @param result what became of it
	 */
	record End(String decisionId, long fencingNumber, OrderResult result) implements OrderRecord {

	}

}
