package org.mustardlane.router.worker;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.mustardlane.core.event.Tick;

/**
 * Tells the node at a fixed interval that time has passed.
 */
public final class Ticker {

	private final WorkerPool workers;

	private final AtomicBoolean pending = new AtomicBoolean();

	/**
	 * Creates a ticker.
	 * @param workers where the ticks are handled
	 */
	public Ticker(WorkerPool workers) {
		this.workers = workers;
	}

	/**
	 * Starts to tick; a tick is left out while the one before it waits for a worker.
	 * @param timer the thread that ticks
	 * @param tickMillis time between two ticks
	 */
	public void start(ScheduledExecutorService timer, int tickMillis) {
		timer.scheduleAtFixedRate(this::tick, tickMillis, tickMillis, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		if (this.pending.compareAndSet(false, true)) {
			this.workers.runAnywhere(() -> {
				this.pending.set(false);
				this.workers.handle(new Tick());
			});
		}
	}

}
