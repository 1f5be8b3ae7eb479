package org.mustardlane.proof.deployment;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * What happens when in the model; equal times keep their order.
 *
 * <p>
 * Not thread-safe.
 */
final class EventQueue {

	private final Queue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::number));

	private double nowMillis;

	private long number;

	double nowMillis() {
		return this.nowMillis;
	}

	/**
	 * Plans an event.
	 * @param delayMillis how long from now
	 * @param action what happens
	 */
	void after(double delayMillis, Runnable action) {
		this.number++;
		this.events.add(new Event(this.nowMillis + delayMillis, this.number, action));
	}

	/**
	 * Lets all happen that is planned before a time.
	 * @param untilMillis the time
	 */
	void run(double untilMillis) {
		while (!this.events.isEmpty() && this.events.peek().atMillis() < untilMillis) {
			Event next = this.events.remove();
			this.nowMillis = next.atMillis();
			next.action().run();
		}
	}

	private record Event(double atMillis, long number, Runnable action) {

	}

}
