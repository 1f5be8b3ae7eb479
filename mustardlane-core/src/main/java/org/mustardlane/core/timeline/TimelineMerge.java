package org.mustardlane.core.timeline;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.mustardlane.core.model.timeline.TimelineEvent;

/**
 * Merges the events of several processes into one time line.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
public final class TimelineMerge {

	private static final Comparator<TimelineEvent> CAUSAL = (left, right) -> Long.compareUnsigned(left.hybridTime(),
			right.hybridTime());

	private TimelineMerge() {
	}

	/**
	 * Merges events, ordered by hybrid time and then by VM. Duplicate events are removed.
	 * @param sources the events of each process
	 * @return the events in causal order
	 */
	public static List<TimelineEvent> merge(Collection<List<TimelineEvent>> sources) {
		return sources.stream()
			.flatMap(List::stream)
			.distinct()
			.sorted(CAUSAL.thenComparing(TimelineEvent::vm))
			.toList();
	}

}
