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
 * Hands events to the node on a fixed number of threads.
 *
 * <p>
 * Each worker has a queue. Events of one request run on one worker in the order in which
 * they were submitted, and so do the actions that concern the request, whichever event
 * they follow from. Thread-safe.
 */
public final class WorkerPool implements EventSink, AutoCloseable {

	private static final Logger logger = LogManager.getLogger(WorkerPool.class);

	private static final int STOP_MILLIS = 1000;

	private final EventHandler node;

	private final RouterClock clock;

	private final ActionExecutor executor;

	private final List<ExecutorService> workers;

	private final ThreadLocal<Integer> currentLane = new ThreadLocal<>();

	/**
	 * Creates the pool.
	 * @param node the node
	 * @param clock the clock of the node
	 * @param executor what carries out the actions
	 * @param workerCount number of threads
	 */
	public WorkerPool(EventHandler node, RouterClock clock, ActionExecutor executor, int workerCount) {
		this.node = node;
		this.clock = clock;
		this.executor = executor;
		this.workers = IntStream.range(0, workerCount).mapToObj(WorkerPool::worker).toList();
	}

	private static ExecutorService worker(int index) {
		return Executors.newSingleThreadExecutor((task) -> {
			Thread thread = new Thread(task, "worker-" + index);
			thread.setDaemon(true);
			return thread;
		});
	}

	@Override
	public void submit(NodeEvent event) {
		runInLane(laneOf(LaneKeys.of(event)), () -> handle(event));
	}

	/**
	 * Hands an event to the node on the calling thread and carries its actions out; to be
	 * called on the worker of the request that the event concerns.
	 * @param event what was seen
	 */
	public void handle(NodeEvent event) {
		List<NodeAction> actions = this.node.handle(event, this.clock.nowMillis());
		actions.forEach(this::execute);
	}

	/**
	 * Runs a task on the worker of a request.
	 * @param requestId the request
	 * @param task the task
	 */
	public void run(RequestId requestId, Runnable task) {
		runInLane(laneOf(requestId.value()), task);
	}

	/**
	 * Runs a task on one worker of its own choice, always the same.
	 * @param task the task
	 */
	public void runAnywhere(Runnable task) {
		runInLane(0, task);
	}

	private void execute(NodeAction action) {
		Optional<RequestId> requestId = LaneKeys.requestOf(action);
		if (requestId.isEmpty()) {
			guarded(() -> this.executor.execute(action));
			return;
		}
		int lane = laneOf(requestId.get().value());
		Runnable task = () -> executeFor(requestId.get(), action);
		if (Integer.valueOf(lane).equals(this.currentLane.get())) {
			guarded(task);
		}
		else {
			runInLane(lane, task);
		}
	}

	private void executeFor(RequestId requestId, NodeAction action) {
		try (CloseableThreadContext.Instance context = CloseableThreadContext.put("requestId", requestId.value())) {
			this.executor.execute(action);
		}
	}

	private int laneOf(String key) {
		return Math.floorMod(key.hashCode(), this.workers.size());
	}

	private void runInLane(int lane, Runnable task) {
		try {
			this.workers.get(lane).execute(() -> {
				this.currentLane.set(lane);
				guarded(task);
			});
		}
		catch (RejectedExecutionException ex) {
			logger.debug("Dropped a task: the workers are stopped");
		}
	}

	private static void guarded(Runnable task) {
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
				worker.awaitTermination(STOP_MILLIS, TimeUnit.MILLISECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

}
