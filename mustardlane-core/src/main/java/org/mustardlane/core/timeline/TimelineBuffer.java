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
 * The newest events of one process, up to a fixed number.
 *
 * <p>
 * The buffer stamps each event with the hybrid clock, the VM and the failure domain, so
 * that the handlers which make the events need to know none of them. Thread-safe.
 */
public final class TimelineBuffer {

	private final RankedLock lock = new RankedLock(LockRank.TIMELINE);

	private final Deque<TimelineEvent> events = new ArrayDeque<>();

	private final HybridClock clock;

	private final VmId vm;

	private final DomainId domain;

	private final int capacity;

	private long dropped;

	/**
	 * Creates an empty buffer.
	 * @param clock stamps the events
	 * @param vm the VM of the process
	 * @param domain the failure domain of the VM
	 * @param capacity most events that are kept
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
	 * Stamps and keeps an event; the oldest one goes where the buffer is full.
	 * @param event the event; its time, VM and failure domain are replaced
	 * @param nowMillis the time by the clock of this VM
	 * @return the event as it was kept
	 */
	public TimelineEvent record(TimelineEvent event, long nowMillis) {
		return this.lock.locked(() -> {
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
			this.dropped++;
		}
	}

	/**
	 * Returns the kept events after a time.
	 * @param hybridTime events up to this time are left out
	 * @return the events, oldest first
	 */
	public List<TimelineEvent> after(long hybridTime) {
		return this.lock.locked(() -> this.events.stream().filter((event) -> event.hybridTime() > hybridTime).toList());
	}

	/**
	 * Returns how many events went because the buffer was full.
	 * @return the number since the start of the process
	 */
	public long droppedEvents() {
		return this.lock.locked(() -> this.dropped);
	}

}
