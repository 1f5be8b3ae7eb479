package org.mustardlane.standin.target;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs a limited number of requests concurrently and queues the others by priority, then
 * by arrival.
 */
final class SlotQueue {

	private final int slotCount;

	private final Runnable changeListener;

	private final PriorityQueue<QueuedRequest> queue = new PriorityQueue<>(
			Comparator.comparingInt(QueuedRequest::priority).thenComparingLong(QueuedRequest::arrivalNumber));

	private long nextArrivalNumber;

	private int runningCount;

	SlotQueue(int slotCount, Runnable changeListener) {
		this.slotCount = slotCount;
		this.changeListener = changeListener;
	}

	int runningCount() {
		return this.runningCount;
	}

	int queuedCount() {
		return this.queue.size();
	}

	QueuedRequest enqueue(int priority, Runnable onStart) {
		QueuedRequest request = new QueuedRequest(priority, this.nextArrivalNumber++, onStart);
		this.queue.add(request);
		startNext();
		return request;
	}

	void cancel(QueuedRequest request) {
		this.queue.remove(request);
		this.changeListener.run();
	}

	void releaseSlot() {
		this.runningCount--;
		startNext();
	}

	private void startNext() {
		while (this.runningCount < this.slotCount && !this.queue.isEmpty()) {
			this.runningCount++;
			this.queue.remove().onStart().run();
		}
		this.changeListener.run();
	}

	/**
	 * A request in the queue.
	 *
	 * @param priority the priority; lower values run first
	 * @param arrivalNumber sequence number of the arrival
	 * @param onStart runs when the request gets a slot
	 */
	record QueuedRequest(int priority, long arrivalNumber, Runnable onStart) {

	}

}
