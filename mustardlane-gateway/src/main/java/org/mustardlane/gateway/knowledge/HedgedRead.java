package org.mustardlane.gateway.knowledge;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

import io.netty.channel.EventLoop;

/**
 * A read of the log that is sent once more, over a new connection, if its response is
 * overdue. The first response counts; the read fails only if all that was sent has
 * failed.
 *
 * <p>
 * Confined to the event loop of the daemon.
 *
 * @param <T> type of the response
 */
final class HedgedRead<T> {

	/**
	 * A slow log responds within a few hundred milliseconds.
	 */
	private static final int OVERDUE_MILLIS = 500;

	private final RecordLog recordLog;

	private final EventLoop loop;

	private final IntFunction<CompletionStage<T>> read;

	private final Listener<T> listener;

	private Optional<Future<?>> overdueTimer = Optional.empty();

	private int pending;

	private boolean overdue;

	private boolean repeated;

	private boolean ended;

	/**
	 * Creates a read that is not sent yet.
	 * @param recordLog client of the log
	 * @param loop event loop of the daemon
	 * @param read sends the read; its argument is how long the log may hold it, in
	 * milliseconds
	 * @param listener receives the result
	 */
	HedgedRead(RecordLog recordLog, EventLoop loop, IntFunction<CompletionStage<T>> read, Listener<T> listener) {
		this.recordLog = recordLog;
		this.loop = loop;
		this.read = read;
		this.listener = listener;
	}

	/**
	 * Sends the read.
	 * @param waitMillis how long the log may hold the read
	 */
	void start(int waitMillis) {
		this.overdueTimer = Optional
			.of(this.loop.schedule(this::handleOverdue, waitMillis + OVERDUE_MILLIS, TimeUnit.MILLISECONDS));
		send(waitMillis);
	}

	private void send(int waitMillis) {
		this.pending++;
		boolean isRepeat = this.repeated;
		sendSafely(waitMillis)
			.whenComplete((value, failure) -> this.loop.execute(() -> handleResult(value, failure, isRepeat)));
	}

	private CompletionStage<T> sendSafely(int waitMillis) {
		try {
			return this.read.apply(waitMillis);
		}
		catch (Throwable ex) {
			return CompletableFuture.failedStage(ex);
		}
	}

	private void handleOverdue() {
		if (!this.ended && !this.repeated) {
			this.overdue = true;
			this.recordLog.dropIdleConnections();
			repeat();
		}
	}

	/**
	 * Sends the read once more, for a response at once, unless it has ended or was sent
	 * once more already.
	 */
	void repeat() {
		if (this.ended || this.repeated) {
			return;
		}
		this.repeated = true;
		send(0);
	}

	/**
	 * Ends the read; its listener receives no result.
	 */
	void cancel() {
		this.ended = true;
		this.overdueTimer.ifPresent((timer) -> timer.cancel(false));
	}

	private void handleResult(T value, Throwable failure, boolean isRepeat) {
		this.pending--;
		if (this.ended || (failure != null && this.pending > 0)) {
			return;
		}
		cancel();
		if (failure != null) {
			this.listener.onFailure(failure);
			return;
		}
		if (isRepeat && this.overdue) {
			this.listener.onSilence();
		}
		this.listener.onSuccess(value);
	}

	/**
	 * Receives the result of a read.
	 *
	 * @param <T> type of the response
	 */
	interface Listener<T> {

		/**
		 * Called with the response.
		 * @param value the response
		 */
		void onSuccess(T value);

		/**
		 * Called if the read has failed.
		 * @param failure the last failure
		 */
		void onFailure(Throwable failure);

		/**
		 * Called before {@link #onSuccess} if the response was overdue on the connection
		 * that was used first, and came over a new one.
		 */
		void onSilence();

	}

}
