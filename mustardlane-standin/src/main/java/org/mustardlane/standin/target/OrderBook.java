package org.mustardlane.standin.target;

import java.util.ArrayList;
import java.util.List;

/**
 * The orders that a target has taken.
 */
final class OrderBook {

	private final boolean checksFencing;

	private final List<Order> orders = new ArrayList<>();

	private long highestNumber;

	OrderBook(boolean checksFencing) {
		this.checksFencing = checksFencing;
	}

	boolean take(Order order) {
		if (this.checksFencing && order.fencingNumber() < this.highestNumber) {
			return false;
		}
		this.highestNumber = Math.max(this.highestNumber, order.fencingNumber());
		this.orders.add(order);
		return true;
	}

	List<Order> orders() {
		return List.copyOf(this.orders);
	}

	/**
	 * An order.
	 *
	 * @param fencingNumber log offset of the lease of the issuer
	 * @param kind what is to be done
	 * @param subject what it is done to
	 * @param value the wanted state
	 */
	record Order(long fencingNumber, String kind, String subject, String value) {

	}

}
