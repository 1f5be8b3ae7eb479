package org.mustardlane.router.peer;

import java.util.concurrent.atomic.AtomicLong;

import org.mustardlane.core.model.common.VmId;

/**
 * Uses a counter as the hybrid time.
 */
final class CountingStamper implements FrameStamper {

	private final VmId self;

	private final AtomicLong latest = new AtomicLong();

	CountingStamper(String self) {
		this.self = new VmId(self);
	}

	@Override
	public VmId self() {
		return this.self;
	}

	@Override
	public long nextHybridTime() {
		return this.latest.incrementAndGet();
	}

	@Override
	public void observe(long hybridTime) {
		this.latest.accumulateAndGet(hybridTime, Math::max);
	}

}
