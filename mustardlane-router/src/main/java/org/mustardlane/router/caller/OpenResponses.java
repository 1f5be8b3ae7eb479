package org.mustardlane.router.caller;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the responses whose last byte has not yet been written to the socket, and the
 * bytes of the request bodies that are held for them.
 *
 * <p>
 * Thread-safe.
 */
final class OpenResponses {

	private final long bodyLimitBytes;

	private final AtomicInteger responses = new AtomicInteger();

	private final AtomicLong bodyBytes = new AtomicLong();

	/**
	 * Creates the counters.
	 * @param bodyLimitBytes largest total size of the bodies that are held at once
	 */
	OpenResponses(long bodyLimitBytes) {
		this.bodyLimitBytes = bodyLimitBytes;
	}

	/**
	 * Opens the response to a request whose body has arrived.
	 * @param bytes size of the body
	 * @return the response, which is not admitted if the total size of the bodies would
	 * exceed the limit
	 */
	OpenResponse open(int bytes) {
		if (this.bodyBytes.addAndGet(bytes) > this.bodyLimitBytes) {
			this.bodyBytes.addAndGet(-bytes);
			return new OpenResponse(this, 0, false);
		}
		this.responses.incrementAndGet();
		return new OpenResponse(this, bytes, true);
	}

	int count() {
		return this.responses.get();
	}

	/**
	 * A response that has not been written completely.
	 */
	static final class OpenResponse {

		private final OpenResponses counters;

		private final int bytes;

		private final boolean admitted;

		private final AtomicBoolean ended = new AtomicBoolean();

		private OpenResponse(OpenResponses counters, int bytes, boolean admitted) {
			this.counters = counters;
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
				this.counters.bodyBytes.addAndGet(-this.bytes);
				this.counters.responses.decrementAndGet();
			}
		}

	}

}
