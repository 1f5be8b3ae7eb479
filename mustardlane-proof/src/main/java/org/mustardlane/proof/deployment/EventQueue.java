package org.mustardlane.proof.deployment;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * The event queue and clock of a simulation. Events with equal times run in the order in
 * which they were scheduled.
 *
 * <p>
 * Not thread-safe.
 */
final class EventQueue {

	private final Queue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::sequence));

	private double nowMillis;

	private long sequence;

	double nowMillis() {
		return this.nowMillis;
	}

	/**
	 * Schedules an action.
	 * @param delayMillis the delay from the current simulated time, in milliseconds
	 * @param action the action to run
	 */
	void schedule(double delayMillis, Runnable action) {
		this.sequence++;
		this.events.add(new Event(this.nowMillis + delayMillis, this.sequence, action));
	}

	/**
	 * Runs all events that are scheduled before a time, including those scheduled
	 * meanwhile.
	 * @param untilMillis the end time in simulated milliseconds, exclusive
	 */
	void runUntil(double untilMillis) {
		while (!this.events.isEmpty() && this.events.peek().atMillis() < untilMillis) {
			Event event = this.events.remove();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
	}

	private record Event(double atMillis, long sequence, Runnable action) {

	}

}
