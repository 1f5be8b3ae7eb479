package org.mustardlane.router;

import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.timeline.HybridClock;
import org.mustardlane.router.peer.FrameStamper;
import org.mustardlane.router.worker.RouterClock;

/**
 * Stamps outgoing frames with the VM of this router and the time of its hybrid logical
 * clock.
 *
 * @param self the VM of this router
 * @param hybridClock the hybrid logical clock, shared with the timeline
 * @param clock clock of the process
 */
record HybridClockStamper(VmId self, HybridClock hybridClock, RouterClock clock) implements FrameStamper {

	@Override
	public long nextHybridTime() {
		return this.hybridClock.next(this.clock.nowMillis());
	}

	@Override
	public void observe(long hybridTime) {
		this.hybridClock.observe(hybridTime, this.clock.nowMillis());
	}

}
