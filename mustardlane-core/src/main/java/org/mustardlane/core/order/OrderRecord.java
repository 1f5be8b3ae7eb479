package org.mustardlane.core.order;

import org.mustardlane.core.model.order.EngineOrder;
import org.mustardlane.core.model.order.OrderResult;

/**
 * A record of the orders stream.
 */
sealed interface OrderRecord {

	/**
	 * Requests or renews the lease.
	 *
	 * @param holder id of the requesting process
	 * @param requestedAtMillis time of the request, by the clock of the requesting VM
	 */
	record Lease(String holder, long requestedAtMillis) implements OrderRecord {

	}

	/**
	 * Records the decision to give an order to an engine.
	 *
	 * @param order the order
	 * @param voidAfterMillis time after which the decision is void, by the clock of the
	 * log
	 */
	record Decision(EngineOrder order, long voidAfterMillis) implements OrderRecord {

	}

	/**
	 * Announces that an order is about to be sent. The order may be sent only if all
	 * readers of the stream accept this record.
	 *
	 * @param decisionId id of the decision
	 * @param fencingNumber fencing number of the lease, which is the offset of its first
	 * record
	 * @param pool the pool of the engine
	 */
	record Issue(String decisionId, long fencingNumber, String pool) implements OrderRecord {

	}

	/**
	 * Records the result of an issued order.
	 *
	 * @param decisionId id of the decision
	 * @param fencingNumber fencing number of the lease under which the order was issued
	 * @param result the result
	 */
	record End(String decisionId, long fencingNumber, OrderResult result) implements OrderRecord {

	}

}
