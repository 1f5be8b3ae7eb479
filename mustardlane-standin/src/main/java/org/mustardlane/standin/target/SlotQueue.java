package org.mustardlane.standin.target;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A limited number of slots, and a queue by priority and arrival before them.
 */
final class SlotQueue {

	private final int slots;

	private final Runnable listener;

	private final PriorityQueue<Waiting> queue = new PriorityQueue<>(
			Comparator.comparingInt(Waiting::priority).thenComparingLong(Waiting::arrival));

	private long arrivals;

	private int running;

	SlotQueue(int slots, Runnable listener) {
		this.slots = slots;
		this.listener = listener;
	}

	int running() {
		return this.running;
	}

	int waiting() {
		return this.queue.size();
	}

	Waiting enter(int priority, Runnable start) {
		Waiting waiting = new Waiting(priority, this.arrivals++, start);
		this.queue.add(waiting);
		startNext();
		return waiting;
	}

	void abandon(Waiting waiting) {
		this.queue.remove(waiting);
		this.listener.run();
	}

	void leave() {
		this.running--;
		startNext();
	}

	private void startNext() {
		while (this.running < this.slots && !this.queue.isEmpty()) {
			this.running++;
			this.queue.remove().start().run();
		}
		this.listener.run();
	}

	/**
	 * A request that waits for a slot.
	 *
	 * @param priority the priority, lower ones first
	 * @param arrival counts the arrivals
	 * @param start what is called when it has a slot
	 */
	record Waiting(int priority, long arrival, Runnable start) {

	}

}
