package org.mustardlane.core.timeline;

import java.util.List;

import org.testng.annotations.Test;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.timeline.TimelineEvent;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link TimelineBuffer}.
 */
public class TimelineBufferTests {

	private final TimelineBuffer buffer = new TimelineBuffer(new HybridClock(), new VmId("vm-1"), new DomainId("a"), 3);

	@Test
	public void keepsNewestEventsAndCountsDroppedOnes() {
		for (int number = 0; number < 5; number++) {
			this.buffer.record(new TimelineEvent(0, "", "", "seen", "s" + number, ""), 100);
		}
		assertEquals(this.buffer.eventsAfter(0).stream().map(TimelineEvent::subject).toList(),
				List.of("s2", "s3", "s4"));
		assertEquals(this.buffer.droppedEvents(), 2);
		assertEquals(this.buffer.eventsAfter(HybridClock.timestamp(100, 3)).size(), 1);
	}

	@Test
	public void setsTimeVmAndDomain() {
		TimelineEvent stamped = this.buffer.record(new TimelineEvent(0, "", "", "seen", "s", "d"), 200);
		assertEquals(stamped, new TimelineEvent(HybridClock.timestamp(200, 0), "vm-1", "a", "seen", "s", "d"));
	}

}
