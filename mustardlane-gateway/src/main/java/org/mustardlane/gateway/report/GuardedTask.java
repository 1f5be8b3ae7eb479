package org.mustardlane.gateway.report;

/**
 * A task that runs again and again, so that one failed run must not end it.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class GuardedTask implements Runnable {

	private final String name;

	private final Runnable task;

	private final DecisionLog log;

	/**
	 * Creates a guarded task.
	 * @param name name of the task, for the log
	 * @param task the task
	 * @param log log of decisions
	 */
	public GuardedTask(String name, Runnable task, DecisionLog log) {
		this.name = name;
		this.task = task;
		this.log = log;
	}

	/**
	 * Runs the task once. Whatever it throws, errors included, ends this run only and is
	 * logged.
	 */
	@Override
	public void run() {
		try {
			this.task.run();
		}
		catch (Throwable ex) {
			this.log.warn(LogEvent.UNEXPECTED_ERROR, "task", this.name, "reason", ex);
		}
	}

}
