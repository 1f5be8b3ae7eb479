package org.mustardlane.router.caller;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the responses whose last byte has not been handed to the system yet, and the
 * bytes of request bodies that are held for them.
 *
 * <p>
 * Thread-safe.
 */
final class OpenResponses {

	private final long bodyBytesLimit;

	private final AtomicInteger responses = new AtomicInteger();

	private final AtomicLong bodyBytes = new AtomicLong();

	/**
	 * Creates the counters.
	 * @param bodyBytesLimit most bytes of bodies that are held at once
	 */
	OpenResponses(long bodyBytesLimit) {
		this.bodyBytesLimit = bodyBytesLimit;
	}

	/**
	 * Counts a body that has arrived.
	 * @param bytes its size
	 * @return the response to come, or one that was not admitted where too much is held
	 */
	Open begin(int bytes) {
		if (this.bodyBytes.addAndGet(bytes) > this.bodyBytesLimit) {
			this.bodyBytes.addAndGet(-bytes);
			return new Open(this, 0, false);
		}
		this.responses.incrementAndGet();
		return new Open(this, bytes, true);
	}

	int count() {
		return this.responses.get();
	}

	/**
	 * A response that is being written.
	 */
	static final class Open {

		private final OpenResponses all;

		private final int bytes;

		private final boolean admitted;

		private final AtomicBoolean ended = new AtomicBoolean();

		private Open(OpenResponses all, int bytes, boolean admitted) {
			this.all = all;
			this.bytes = bytes;
			this.admitted = admitted;
		}

		boolean isAdmitted() {
			return this.admitted;
		}

		/**
		 * Ends the response; further calls do nothing.
		 */
		void end() {
			if (this.admitted && this.ended.compareAndSet(false, true)) {
				this.all.bodyBytes.addAndGet(-this.bytes);
				this.all.responses.decrementAndGet();
			}
		}

	}

}
