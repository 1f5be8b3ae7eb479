package org.mustardlane.router.operator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.mustardlane.core.model.timeline.TimelineEvent;

/**
 * Keeps the newest events of the time line.
 *
 * <p>
 * Thread-safe.
 */
public final class TimelineStore {

	private static final int MOST_EVENTS = 20_000;

	private final Deque<TimelineEvent> events = new ArrayDeque<>();

	/**
	 * Adds an event; the oldest one goes where there are too many.
	 * @param event the event
	 */
	public synchronized void add(TimelineEvent event) {
		this.events.addLast(event);
		if (this.events.size() > MOST_EVENTS) {
			this.events.removeFirst();
		}
	}

	/**
	 * Returns events in the order in which they were added.
	 * @param afterHybridTime only later ones are wanted
	 * @param subject only events of this subject are wanted, all where it is empty
	 * @return the events
	 */
	public synchronized List<TimelineEvent> read(long afterHybridTime, String subject) {
		return this.events.stream()
			.filter((event) -> Long.compareUnsigned(event.hybridTime(), afterHybridTime) > 0)
			.filter((event) -> subject.isEmpty() || event.subject().equals(subject))
			.toList();
	}

}
