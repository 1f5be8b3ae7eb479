package org.mustardlane.standin.target;

import java.util.ArrayList;
import java.util.List;

/**
 * The orders that a target has accepted, and the check of their fencing numbers.
 */
final class AcceptedOrders {

	private final boolean checksFencing;

	private final List<Order> orders = new ArrayList<>();

	private long highestFencingNumber;

	AcceptedOrders(boolean checksFencing) {
		this.checksFencing = checksFencing;
	}

	boolean tryAccept(Order order) {
		if (this.checksFencing && order.fencingNumber() < this.highestFencingNumber) {
			return false;
		}
		this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber());
		this.orders.add(order);
		return true;
	}

	List<Order> orders() {
		return List.copyOf(this.orders);
	}

	/**
	 * An order of a router to a target.
	 *
	 * @param fencingNumber log offset of the lease under which the order was issued
	 * @param kind the action, such as loading a model
	 * @param subject the object of the action
	 * @param value the desired state of the object
	 */
	record Order(long fencingNumber, String kind, String subject, String value) {

	}

}
