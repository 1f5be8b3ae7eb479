package org.mustardlane.router;

import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.timeline.HybridClock;
import org.mustardlane.router.peer.FrameStamp;
import org.mustardlane.router.worker.RouterClock;

/**
 * Marks frames with the hybrid clock of the process.
 *
 * @param self this router
 * @param hybridClock the hybrid clock, shared with the time line
 * @param clock the time
 */
record PeerStamp(VmId self, HybridClock hybridClock, RouterClock clock) implements FrameStamp {

	@Override
	public long next() {
		return this.hybridClock.next(this.clock.nowMillis());
	}

	@Override
	public void observe(long hybridTime) {
		this.hybridClock.observe(hybridTime, this.clock.nowMillis());
	}

}
