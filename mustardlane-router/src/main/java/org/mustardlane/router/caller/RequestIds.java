package org.mustardlane.router.caller;

import java.util.concurrent.atomic.AtomicLong;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;

/**
 * Names requests so that no two of the fleet are alike, over restarts as well.
 *
 * <p>
 * Thread-safe.
 */
public final class RequestIds {

	private final String prefix;

	private final AtomicLong counter = new AtomicLong();

	/**
	 * Creates a source of names.
	 * @param vm the VM
	 * @param incarnationMillis start time of the process in milliseconds
	 */
	public RequestIds(VmId vm, long incarnationMillis) {
		this.prefix = vm + "-" + Long.toString(incarnationMillis, Character.MAX_RADIX) + "-";
	}

	/**
	 * Returns the next name.
	 * @return the name
	 */
	public RequestId next() {
		return new RequestId(this.prefix + Long.toString(this.counter.incrementAndGet(), Character.MAX_RADIX));
	}

}
