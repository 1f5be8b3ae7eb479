package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * An engine that batches, slows with its batch and caches a bounded number of chats.
 */
final class SimulatedEngine {

	static final int SLOTS = 8;

	private static final int CACHED_CHATS = 150;

	private static final double WARM_PREFILL_MILLIS = 5;

	private static final double COLD_PREFILL_MILLIS = 80;

	private static final double TOKEN_MILLIS = 10;

	private static final double BATCH_SLOWDOWN = 0.03;

	private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);

	private final Queue<SimulatedRequest> waiting = new PriorityQueue<>(
			Comparator.comparing((SimulatedRequest request) -> request.serviceClass)
				.thenComparing((request) -> request.startedAtMillis));

	private final List<SimulatedRequest> running = new ArrayList<>();

	private double slowness = 1;

	private boolean leaving;

	void start(SimulatedRequest request) {
		this.waiting.add(request);
		fill();
	}

	private void fill() {
		while (this.running.size() < SLOTS && !this.waiting.isEmpty()) {
			begin(this.waiting.remove());
		}
	}

	private void begin(SimulatedRequest request) {
		request.warm = this.cache.containsKey(request.chat);
		request.prefillMillis = request.warm ? WARM_PREFILL_MILLIS : COLD_PREFILL_MILLIS;
		request.remainingMillis = request.workMillis;
		this.cache.put(request.chat, true);
		if (this.cache.size() > CACHED_CHATS) {
			this.cache.remove(this.cache.keySet().iterator().next());
		}
		this.running.add(request);
	}

	/**
	 * Lets time pass.
	 * @return the requests that have ended
	 */
	List<SimulatedRequest> step(double millis, long nowMillis) {
		double progress = millis / (this.slowness * (1 + BATCH_SLOWDOWN * (this.running.size() - 1)));
		List<SimulatedRequest> ended = new ArrayList<>();
		for (SimulatedRequest request : this.running) {
			request.prefillMillis -= progress;
			request.worstGapMillis = Math.max(request.worstGapMillis, (long) (TOKEN_MILLIS * millis / progress));
			if (request.prefillMillis <= 0 && request.firstTokenAtMillis == 0) {
				request.firstTokenAtMillis = nowMillis;
			}
			if (request.prefillMillis <= 0) {
				request.remainingMillis -= progress;
			}
			if (request.remainingMillis <= 0) {
				request.endedAtMillis = nowMillis;
				ended.add(request);
			}
		}
		this.running.removeAll(ended);
		fill();
		return ended;
	}

	void setSlowness(double factor) {
		this.slowness = factor;
	}

	double slowness() {
		return this.slowness;
	}

	void setLeaving(boolean leaving) {
		this.leaving = leaving;
	}

	boolean leaving() {
		return this.leaving;
	}

	int busy() {
		return this.running.size() + this.waiting.size();
	}

}
