package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Simulates an engine that runs requests in batches, slows down as the batch grows and
 * caches a limited number of chats.
 */
final class SimulatedEngine {

	static final int SLOTS = 8;

	private static final int MAX_CACHED_CHATS = 150;

	private static final double CACHED_PREFILL_MILLIS = 5;

	private static final double UNCACHED_PREFILL_MILLIS = 80;

	private static final double TOKEN_MILLIS = 10;

	private static final double SLOWDOWN_PER_BATCHED_REQUEST = 0.03;

	private final Map<Long, Boolean> cachedChats = new LinkedHashMap<>(16, 0.75f, true);

	private final Queue<SimulatedRequest> waiting = new PriorityQueue<>(
			Comparator.comparing((SimulatedRequest request) -> request.serviceClass)
				.thenComparing((request) -> request.startedAtMillis));

	private final List<SimulatedRequest> running = new ArrayList<>();

	private double slowdownFactor = 1;

	private boolean leaving;

	void start(SimulatedRequest request) {
		this.waiting.add(request);
		startWaitingRequests();
	}

	private void startWaitingRequests() {
		while (this.running.size() < SLOTS && !this.waiting.isEmpty()) {
			startRunning(this.waiting.remove());
		}
	}

	private void startRunning(SimulatedRequest request) {
		request.cacheHit = this.cachedChats.containsKey(request.chat);
		request.prefillMillis = request.cacheHit ? CACHED_PREFILL_MILLIS : UNCACHED_PREFILL_MILLIS;
		request.remainingMillis = request.serviceMillis;
		this.cachedChats.put(request.chat, true);
		if (this.cachedChats.size() > MAX_CACHED_CHATS) {
			this.cachedChats.remove(this.cachedChats.keySet().iterator().next());
		}
		this.running.add(request);
	}

	/**
	 * Advances the running requests by the given time.
	 * @return the requests that have ended
	 */
	List<SimulatedRequest> advance(double elapsedMillis, long nowMillis) {
		double progressMillis = elapsedMillis
				/ (this.slowdownFactor * (1 + SLOWDOWN_PER_BATCHED_REQUEST * (this.running.size() - 1)));
		List<SimulatedRequest> endedRequests = new ArrayList<>();
		for (SimulatedRequest request : this.running) {
			request.prefillMillis -= progressMillis;
			request.maxTokenGapMillis = Math.max(request.maxTokenGapMillis,
					(long) (TOKEN_MILLIS * elapsedMillis / progressMillis));
			if (request.prefillMillis <= 0 && request.firstTokenAtMillis == 0) {
				request.firstTokenAtMillis = nowMillis;
			}
			if (request.prefillMillis <= 0) {
				request.remainingMillis -= progressMillis;
			}
			if (request.remainingMillis <= 0) {
				request.endedAtMillis = nowMillis;
				endedRequests.add(request);
			}
		}
		this.running.removeAll(endedRequests);
		startWaitingRequests();
		return endedRequests;
	}

	void setSlowdownFactor(double factor) {
		this.slowdownFactor = factor;
	}

	double slowdownFactor() {
		return this.slowdownFactor;
	}

	void setLeaving(boolean leaving) {
		this.leaving = leaving;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	int load() {
		return this.running.size() + this.waiting.size();
	}

}
