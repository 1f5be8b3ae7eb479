package org.mustardlane.core.order;

import java.util.Optional;

import org.mustardlane.core.model.order.EngineOrder;
import org.mustardlane.core.model.order.OrderResult;

/**
 * A decision and the state of its execution.
 *
 * @param order the order that was decided
 * @param voidAfterMillis time after which the decision can no longer be issued, by the
 * clock of the log
 * @param issue the valid issue record, empty if the decision is waiting
 * @param result the result of the order, empty if it has not ended
 */
record OrderProgress(EngineOrder order, long voidAfterMillis, Optional<Issued> issue, Optional<OrderResult> result) {

	/**
	 * Creates the state of a decision that has not been issued.
	 * @param decision the recorded decision
	 * @return the state
	 */
	static OrderProgress of(OrderRecord.Decision decision) {
		return new OrderProgress(decision.order(), decision.voidAfterMillis(), Optional.empty(), Optional.empty());
	}

	/**
	 * Returns whether the decision has not been issued.
	 * @return whether the decision waits to be issued
	 */
	boolean isWaiting() {
		return this.issue.isEmpty();
	}

	/**
	 * Returns whether the engine may still be executing the order.
	 * @param logMillis current time by the clock of the log, in milliseconds
	 * @param outstandingTimeoutMillis how long an order without a result counts as
	 * outstanding
	 * @return whether the order was issued and has neither ended nor timed out
	 */
	boolean isOutstanding(long logMillis, long outstandingTimeoutMillis) {
		return this.result.isEmpty()
				&& this.issue.filter((issued) -> logMillis < issued.issuedAtMillis() + outstandingTimeoutMillis)
					.isPresent();
	}

	/**
	 * Returns the state after the decision was issued.
	 * @param issued the issue
	 * @return the new state
	 */
	OrderProgress withIssue(Issued issued) {
		return new OrderProgress(this.order, this.voidAfterMillis, Optional.of(issued), Optional.empty());
	}

	/**
	 * Returns the state after the order ended. A decision whose order was not sent or was
	 * refused waits to be issued again.
	 * @param newResult the result of the order
	 * @return the new state
	 */
	OrderProgress withResult(OrderResult newResult) {
		if (newResult == OrderResult.NOT_SENT || newResult == OrderResult.REFUSED) {
			return new OrderProgress(this.order, this.voidAfterMillis, Optional.empty(), Optional.empty());
		}
		return new OrderProgress(this.order, this.voidAfterMillis, this.issue, Optional.of(newResult));
	}

	/**
	 * An issue of a decision.
	 *
	 * @param offset log offset of the issue record
	 * @param fencingNumber fencing number of the lease
	 * @param pool the pool of the engine
	 * @param issuedAtMillis append time of the issue record by the clock of the log
	 */
	record Issued(long offset, long fencingNumber, String pool, long issuedAtMillis) {

	}

}
