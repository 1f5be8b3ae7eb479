package org.mustardlane.router.peer;

import java.util.concurrent.atomic.AtomicLong;

import org.mustardlane.core.model.common.VmId;

/**
 * Counts instead of reading a clock.
 */
final class RecordingStamp implements FrameStamp {

	private final VmId self;

	private final AtomicLong latest = new AtomicLong();

	RecordingStamp(String self) {
		this.self = new VmId(self);
	}

	@Override
	public VmId self() {
		return this.self;
	}

	@Override
	public long next() {
		return this.latest.incrementAndGet();
	}

	@Override
	public void observe(long hybridTime) {
		this.latest.accumulateAndGet(hybridTime, Math::max);
	}

}
