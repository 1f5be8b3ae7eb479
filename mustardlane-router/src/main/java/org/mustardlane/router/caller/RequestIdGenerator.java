package org.mustardlane.router.caller;

import java.util.concurrent.atomic.AtomicLong;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;

/**
 * Generates request ids that are unique in the fleet, also across restarts.
 *
 * <p>
 * Thread-safe.
 */
public final class RequestIdGenerator {

	private final String prefix;

	private final AtomicLong counter = new AtomicLong();

	/**
	 * Creates a generator.
	 * @param vm the VM of this router
	 * @param incarnationMillis start time of the process, in milliseconds since 1970
	 */
	public RequestIdGenerator(VmId vm, long incarnationMillis) {
		this.prefix = vm + "-" + Long.toString(incarnationMillis, Character.MAX_RADIX) + "-";
	}

	/**
	 * Returns the next id.
	 * @return the id
	 */
	public RequestId next() {
		return new RequestId(this.prefix + Long.toString(this.counter.incrementAndGet(), Character.MAX_RADIX));
	}

}
