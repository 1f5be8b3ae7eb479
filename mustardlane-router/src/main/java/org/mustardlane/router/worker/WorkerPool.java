package org.mustardlane.router.worker;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.model.common.RequestId;

/**
 * Passes events to the node on a fixed number of threads.
 *
 * <p>
 * Each worker has a queue. Events of one request run on one worker, in the order in which
 * they were submitted. Actions of the request run on the same worker, whichever event
 * they result from. Thread-safe.
 */
public final class WorkerPool implements EventSink, AutoCloseable {

	private static final Logger logger = LogManager.getLogger(WorkerPool.class);

	private static final int STOP_TIMEOUT_MILLIS = 1000;

	private final EventHandler node;

	private final RouterClock clock;

	private final ActionExecutor executor;

	private final List<ExecutorService> workers;

	private final ThreadLocal<Integer> currentWorkerIndex = new ThreadLocal<>();

	/**
	 * Creates the pool.
	 * @param node handles the events
	 * @param clock supplies the time that is passed to the node
	 * @param executor executes the actions
	 * @param workerCount number of threads
	 */
	public WorkerPool(EventHandler node, RouterClock clock, ActionExecutor executor, int workerCount) {
		this.node = node;
		this.clock = clock;
		this.executor = executor;
		this.workers = IntStream.range(0, workerCount).mapToObj(WorkerPool::createWorker).toList();
	}

	private static ExecutorService createWorker(int index) {
		return Executors.newSingleThreadExecutor((task) -> {
			Thread thread = new Thread(task, "worker-" + index);
			thread.setDaemon(true);
			return thread;
		});
	}

	@Override
	public void submit(NodeEvent event) {
		runOnWorker(workerIndexOf(OrderingKeys.of(event)), () -> handle(event));
	}

	/**
	 * Passes an event to the node on the calling thread and executes the resulting
	 * actions. If the event belongs to a request, this method must be called on the
	 * worker of that request.
	 * @param event the event
	 */
	public void handle(NodeEvent event) {
		List<NodeAction> actions = this.node.handle(event, this.clock.nowMillis());
		actions.forEach(this::execute);
	}

	/**
	 * Runs a task on the worker of a request.
	 * @param requestId id of the request
	 * @param task the task
	 */
	public void run(RequestId requestId, Runnable task) {
		runOnWorker(workerIndexOf(requestId.value()), task);
	}

	/**
	 * Runs a task that belongs to no request. All such tasks run on the first worker.
	 * @param task the task
	 */
	public void runOnFirstWorker(Runnable task) {
		runOnWorker(0, task);
	}

	private void execute(NodeAction action) {
		Optional<RequestId> requestId = OrderingKeys.requestOf(action);
		if (requestId.isEmpty()) {
			runAndLogFailure(() -> this.executor.execute(action));
			return;
		}
		int workerIndex = workerIndexOf(requestId.get().value());
		Runnable task = () -> executeWithLogContext(requestId.get(), action);
		if (Integer.valueOf(workerIndex).equals(this.currentWorkerIndex.get())) {
			runAndLogFailure(task);
		}
		else {
			runOnWorker(workerIndex, task);
		}
	}

	private void executeWithLogContext(RequestId requestId, NodeAction action) {
		try (CloseableThreadContext.Instance context = CloseableThreadContext.put("requestId", requestId.value())) {
			this.executor.execute(action);
		}
	}

	private int workerIndexOf(String key) {
		return Math.floorMod(key.hashCode(), this.workers.size());
	}

	private void runOnWorker(int workerIndex, Runnable task) {
		try {
			this.workers.get(workerIndex).execute(() -> {
				this.currentWorkerIndex.set(workerIndex);
				runAndLogFailure(task);
			});
		}
		catch (RejectedExecutionException ex) {
			logger.debug("Dropped a task because the worker pool is closed");
		}
	}

	private static void runAndLogFailure(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			logger.error("A worker task failed", ex);
		}
	}

	@Override
	public void close() {
		this.workers.forEach(ExecutorService::shutdown);
		for (ExecutorService worker : this.workers) {
			try {
				worker.awaitTermination(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

}
