package org.mustardlane.router.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import org.mustardlane.core.event.AttemptBytesReceived;
import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.FinishAnswer;
import org.mustardlane.core.event.LogReadFailed;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.RequestCancelled;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.log.StreamName;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

/**
 * Tests the order in which workers handle events and execute actions.
 */
public class WorkerPoolTests {

	private static final int WORKERS = 4;

	private static final int REQUESTS = 50;

	private static final int EVENTS_PER_REQUEST = 100;

	private static RequestId requestId(int number) {
		return new RequestId("r-" + number);
	}

	@Test
	public void eventsOfOneRequestStayInOrder() {
		Map<RequestId, List<Long>> handled = new ConcurrentHashMap<>();
		EventHandler node = (event, nowMillis) -> {
			AttemptBytesReceived bytes = (AttemptBytesReceived) event;
			handled.computeIfAbsent(bytes.requestId(), (id) -> new ArrayList<>()).add(bytes.totalBytes());
			return List.of();
		};
		try (WorkerPool pool = new WorkerPool(node, new RouterClock(), (action) -> {
		}, WORKERS)) {
			List<Long> expected = new ArrayList<>();
			for (long count = 0; count < EVENTS_PER_REQUEST; count++) {
				expected.add(count);
				for (int number = 0; number < REQUESTS; number++) {
					pool.submit(new AttemptBytesReceived(requestId(number), 1, count));
				}
			}
			pool.close();
			assertEquals(handled.size(), REQUESTS);
			handled.values().forEach((counts) -> assertEquals(counts, expected));
		}
	}

	@Test
	public void actionsRunOnTheWorkerOfTheirRequest() {
		Map<RequestId, Thread> eventThreads = new ConcurrentHashMap<>();
		Map<RequestId, Thread> actionThreads = new ConcurrentHashMap<>();
		EventHandler node = (event, nowMillis) -> {
			if (event instanceof RequestCancelled cancelled) {
				eventThreads.put(cancelled.requestId(), Thread.currentThread());
				return List.of();
			}
			return IntStream.range(0, REQUESTS)
				.<NodeAction>mapToObj((number) -> new FinishAnswer(requestId(number)))
				.toList();
		};
		try (WorkerPool pool = new WorkerPool(node, new RouterClock(),
				(action) -> actionThreads.put(((FinishAnswer) action).requestId(), Thread.currentThread()), WORKERS)) {
			IntStream.range(0, REQUESTS).forEach((number) -> pool.submit(new RequestCancelled(requestId(number))));
			pool.submit(new LogReadFailed(StreamName.CATALOGUE, "down"));
			await().until(() -> eventThreads.size() == REQUESTS && actionThreads.size() == REQUESTS);
			assertEquals(actionThreads, eventThreads);
		}
	}

	@Test
	public void workerHandlesFurtherEventsAfterAFailure() {
		List<NodeEvent> handled = new CopyOnWriteArrayList<>();
		EventHandler node = (event, nowMillis) -> {
			handled.add(event);
			throw new IllegalStateException("deliberate failure");
		};
		try (WorkerPool pool = new WorkerPool(node, new RouterClock(), (action) -> {
		}, 1)) {
			pool.submit(new RequestCancelled(requestId(1)));
			pool.submit(new RequestCancelled(requestId(2)));
			await().until(() -> handled.size() == 2);
		}
	}

	@Test
	public void clockNeverGoesBackwards() {
		long[] wallClockMillis = { 5, 9, 7, 10 };
		int[] index = { 0 };
		RouterClock clock = new RouterClock(() -> wallClockMillis[index[0]++]);
		assertEquals(List.of(clock.nowMillis(), clock.nowMillis(), clock.nowMillis(), clock.nowMillis()),
				List.of(5L, 9L, 9L, 10L));
	}

}
