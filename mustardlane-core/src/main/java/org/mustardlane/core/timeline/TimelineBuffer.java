package org.mustardlane.core.timeline;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.LockRank;
import org.mustardlane.core.model.common.RankedLock;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.timeline.TimelineEvent;

/**
 * A bounded buffer of the newest time line events of one process.
 *
 * <p>
 * The buffer sets the hybrid time, VM and failure domain of each event, so the handlers
 * that create events need not know them. Thread-safe.
 */
public final class TimelineBuffer {

	private final RankedLock lock = new RankedLock(LockRank.TIMELINE);

	private final Deque<TimelineEvent> events = new ArrayDeque<>();

	private final HybridClock clock;

	private final VmId vm;

	private final DomainId domain;

	private final int capacity;

	private long droppedCount;

	/**
	 * Creates an empty buffer.
	 * @param clock clock that provides the timestamps
	 * @param vm the VM of the process
	 * @param domain the failure domain of the VM
	 * @param capacity maximum number of events in the buffer
	 */
	public TimelineBuffer(HybridClock clock, VmId vm, DomainId domain, int capacity) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity must be positive");
		}
		this.clock = clock;
		this.vm = vm;
		this.domain = domain;
		this.capacity = capacity;
	}

	/**
	 * Sets the time, VM and failure domain of an event and adds it. If the buffer is
	 * full, the oldest event is dropped.
	 * @param event the event, whose time, VM and failure domain are replaced
	 * @param nowMillis the current time by the clock of this VM
	 * @return the event as it was added
	 */
	public TimelineEvent record(TimelineEvent event, long nowMillis) {
		return this.lock.callLocked(() -> {
			TimelineEvent stamped = new TimelineEvent(this.clock.next(nowMillis), this.vm.value(), this.domain.value(),
					event.kind(), event.subject(), event.detail());
			this.events.addLast(stamped);
			dropOldest();
			return stamped;
		});
	}

	private void dropOldest() {
		if (this.events.size() > this.capacity) {
			this.events.removeFirst();
			this.droppedCount++;
		}
	}

	/**
	 * Returns the buffered events after a timestamp.
	 * @param hybridTime timestamp up to which events are omitted
	 * @return the events, oldest first
	 */
	public List<TimelineEvent> eventsAfter(long hybridTime) {
		return this.lock
			.callLocked(() -> this.events.stream().filter((event) -> event.hybridTime() > hybridTime).toList());
	}

	/**
	 * Returns the number of events dropped because the buffer was full.
	 * @return the number since the start of the process
	 */
	public long droppedEvents() {
		return this.lock.callLocked(() -> this.droppedCount);
	}

}
