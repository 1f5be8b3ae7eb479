package org.mustardlane.core.model.common;

import java.util.function.Supplier;

/**
 * A lock with a rank in the lock order, which is checked at each acquisition.
 *
 * <p>
 * A thread may acquire a lock only if every lock that it holds has a lower rank.
 * {@link LockRank} defines the ranks.
 */
public final class RankedLock {

	private static final ThreadLocal<RankedLock> INNERMOST = new ThreadLocal<>();

	private final Object monitor = new Object();

	private final LockRank rank;

	/**
	 * Creates a lock.
	 * @param rank rank in the lock order
	 */
	public RankedLock(LockRank rank) {
		this.rank = rank;
	}

	/**
	 * Runs a step while holding the lock.
	 * @param <T> type of the result
	 * @param step the code to run
	 * @return the result of the step
	 * @throws IllegalStateException if the thread holds a lock of the same or a higher
	 * rank
	 */
	public <T> T callLocked(Supplier<T> step) {
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
