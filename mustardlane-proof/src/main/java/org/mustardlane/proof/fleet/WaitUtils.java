package org.mustardlane.proof.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Waits for conditions and results with a time limit.
 */
public final class WaitUtils {

	private static final int TIMEOUT_SECONDS = 60;

	private static final int POLL_INTERVAL_MILLIS = 20;

	private WaitUtils() {
	}

	/**
	 * Polls a condition until it is true.
	 * @param description the description of the condition for the error message
	 * @param condition the condition to poll
	 * @throws FleetException if the condition is not true within a minute
	 */
	public static void awaitCondition(String description, Condition condition) throws FleetException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.isMet()) {
			if (System.nanoTime() > deadlineNanos) {
				throw new FleetException("condition not met within a minute: " + description);
			}
			sleep(POLL_INTERVAL_MILLIS);
		}
	}

	/**
	 * Waits for the result of a future.
	 * @param <T> the type of the result
	 * @param description the description of the result for the error message
	 * @param future the future to wait for
	 * @return the result
	 * @throws FleetException if the future fails or is not completed within two minutes
	 */
	public static <T> T awaitResult(String description, CompletableFuture<T> future) throws FleetException {
		try {
			return future.get(2 * TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new FleetException("no result of: " + description, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new FleetException("interrupted", ex);
		}
	}

	/**
	 * Sleeps.
	 * @param millis the time in milliseconds
	 * @throws FleetException if the thread is interrupted
	 */
	public static void sleep(long millis) throws FleetException {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new FleetException("interrupted", ex);
		}
	}

	/**
	 * A condition whose evaluation can fail.
	 */
	public interface Condition {

		/**
		 * Evaluates the condition.
		 * @return whether the condition is true
		 * @throws FleetException if the condition cannot be evaluated
		 */
		boolean isMet() throws FleetException;

	}

}
