package org.mustardlane.proof.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Waits for conditions and results with a deadline.
 */
public final class Waiting {

	private static final int WAIT_SECONDS = 60;

	private static final int POLL_MILLIS = 20;

	private Waiting() {
	}

	/**
	 * Waits until a condition holds.
	 * @param what names the condition
	 * @param condition the condition
	 * @throws FleetException if it does not hold within a minute
	 */
	public static void until(String what, Condition condition) throws FleetException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (!condition.holds()) {
			if (System.nanoTime() > deadlineNanos) {
				throw new FleetException("within a minute this does not hold: " + what);
			}
			pause(POLL_MILLIS);
		}
	}

	/**
	 * Waits for a result.
	 * @param <T> its type
	 * @param what names the result
	 * @param future the result
	 * @return the result
	 * @throws FleetException if it does not come within two minutes
	 */
	public static <T> T get(String what, CompletableFuture<T> future) throws FleetException {
		try {
			return future.get(2 * WAIT_SECONDS, TimeUnit.SECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new FleetException("no result: " + what, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new FleetException("interrupted", ex);
		}
	}

	/**
	 * Waits for some time.
	 * @param millis the time
	 * @throws FleetException if the harness is interrupted
	 */
	public static void pause(long millis) throws FleetException {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new FleetException("interrupted", ex);
		}
	}

	/**
	 * Something that may come to hold.
	 */
	public interface Condition {

		/**
		 * Returns whether it holds.
		 * @return whether it does
		 * @throws FleetException if that can not be found out
		 */
		boolean holds() throws FleetException;

	}

}
