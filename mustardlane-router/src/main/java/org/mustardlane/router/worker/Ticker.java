package org.mustardlane.router.worker;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.mustardlane.core.event.Tick;

/**
 * Passes a {@link Tick} to the node at a fixed interval.
 */
public final class Ticker {

	private final WorkerPool workers;

	private final AtomicBoolean queued = new AtomicBoolean();

	/**
	 * Creates a ticker.
	 * @param workers run the ticks
	 */
	public Ticker(WorkerPool workers) {
		this.workers = workers;
	}

	/**
	 * Starts the ticks. A tick is skipped while the previous one is still queued.
	 * @param timer schedules the ticks
	 * @param tickMillis interval between two ticks
	 */
	public void start(ScheduledExecutorService timer, int tickMillis) {
		timer.scheduleAtFixedRate(this::submitTick, tickMillis, tickMillis, TimeUnit.MILLISECONDS);
	}

	private void submitTick() {
		if (this.queued.compareAndSet(false, true)) {
			this.workers.runOnFirstWorker(() -> {
				this.queued.set(false);
				this.workers.handle(new Tick());
			});
		}
	}

}
