package org.mustardlane.core.order;

import java.util.Optional;

import org.mustardlane.core.model.order.EngineOrder;
import org.mustardlane.core.model.order.OrderResult;

/**
 * How far a decision has come.
 *
 * @param order the decision
 * @param voidAfterMillis until when it may be issued, by the clock of the log
 * @param issue how it was issued, empty before
 * @param result what became of it, empty before
 */
record OrderProgress(EngineOrder order, long voidAfterMillis, Optional<Issued> issue, Optional<OrderResult> result) {

	/**
	 * Returns the start of a decision.
	 * @param decision the decision
	 * @return nothing issued yet
	 */
	static OrderProgress of(OrderRecord.Decision decision) {
		return new OrderProgress(decision.order(), decision.voidAfterMillis(), Optional.empty(), Optional.empty());
	}

	/**
	 * Returns whether the decision still has to be issued.
	 * @return whether it waits
	 */
	boolean isWaiting() {
		return this.issue.isEmpty();
	}

	/**
	 * Returns whether the engine may still be at work on the order.
	 * @param logMillis the time by the clock of the log
	 * @param outstandingMillis how long an order without an answer counts
	 * @return whether it was issued and has not ended
	 */
	boolean isOutstanding(long logMillis, long outstandingMillis) {
		return this.result.isEmpty()
				&& this.issue.filter((issued) -> logMillis < issued.atMillis() + outstandingMillis).isPresent();
	}

	/**
	 * Returns the decision as issued.
	 * @param issued how
	 * @return the new progress
	 */
	OrderProgress issued(Issued issued) {
		return new OrderProgress(this.order, this.voidAfterMillis, Optional.of(issued), Optional.empty());
	}

	/**
	 * Returns the decision after its end; one that had no effect waits again.
	 * @param end what became of it
	 * @return the new progress
	 */
	OrderProgress ended(OrderResult end) {
		if (end == OrderResult.NOT_SENT || end == OrderResult.REFUSED) {
			return new OrderProgress(this.order, this.voidAfterMillis, Optional.empty(), Optional.empty());
		}
		return new OrderProgress(this.order, this.voidAfterMillis, this.issue, Optional.of(end));
	}

	/**
	 * How a decision was issued.
	 *
	 * @param offset offset of the record
	 * @param fencingNumber offset of the lease
	 * @param pool the pool of the engine
	 * @param atMillis when, by the clock of the log
	 */
	record Issued(long offset, long fencingNumber, String pool, long atMillis) {

	}

}
