package org.mustardlane.router;

import java.util.concurrent.atomic.AtomicLong;

import org.mustardlane.core.model.common.VmId;
import org.mustardlane.router.peer.FrameStamp;
import org.mustardlane.router.worker.RouterClock;

/**
 * Marks frames with a hybrid logical clock: milliseconds in the upper 48 bits, a counter
 * in the lower 16.
 *
 * <p>
 * Thread-safe.
 */
final class PeerStamp implements FrameStamp {

	private static final int COUNTER_BITS = 16;

	private final VmId self;

	private final RouterClock clock;

	private final AtomicLong latest = new AtomicLong();

	PeerStamp(VmId self, RouterClock clock) {
		this.self = self;
		this.clock = clock;
	}

	@Override
	public VmId self() {
		return this.self;
	}

	@Override
	public long next() {
		long now = this.clock.nowMillis() << COUNTER_BITS;
		return this.latest.updateAndGet((last) -> Math.max(last + 1, now));
	}

	@Override
	public void observe(long hybridTime) {
		this.latest.accumulateAndGet(hybridTime, Math::max);
	}

}
