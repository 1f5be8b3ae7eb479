package org.mustardlane.core.model.common;

import java.util.function.Supplier;

/**
 * A lock with a place in the lock order, asserted at each acquisition.
 *
 * <p>
 * A thread may take a lock only while every lock that it holds has a lower rank. The
 * ranks stand in {@link LockRank}.
 */
public final class RankedLock {

	private static final ThreadLocal<RankedLock> INNERMOST = new ThreadLocal<>();

	private final Object monitor = new Object();

	private final LockRank rank;

	/**
	 * Creates a lock.
	 * @param rank its place in the lock order
	 */
	public RankedLock(LockRank rank) {
		this.rank = rank;
	}

	/**
	 * Runs a step under the lock.
	 * @param <T> kind of the result
	 * @param step the step
	 * @return the result of the step
	 * @throws IllegalStateException if the thread holds a lock of the same or a higher
	 * rank
	 */
	public <T> T locked(Supplier<T> step) {
		RankedLock outer = INNERMOST.get();
		if (outer != null && outer.rank.compareTo(this.rank) >= 0) {
			throw new IllegalStateException("lock " + this.rank + " taken while holding " + outer.rank);
		}
		synchronized (this.monitor) {
			INNERMOST.set(this);
			try {
				return step.get();
			}
			finally {
				restore(outer);
			}
		}
	}

	private static void restore(RankedLock outer) {
		if (outer != null) {
			INNERMOST.set(outer);
			return;
		}
		INNERMOST.remove();
	}

}
