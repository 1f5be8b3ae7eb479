package org.mustardlane.proof.deployment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.placement.LoadSample;
import org.mustardlane.core.placement.SharedPrefix;

/**
 * A simulated engine that runs requests in batches, processes prompts in chunks during
 * the token steps and caches shared prefixes while memory lasts.
 *
 * <p>
 * Not thread-safe.
 */
final class SimulatedEngine {

	private static final int NORMAL_SLOWNESS_PERCENT = 100;

	private final TargetEntry entry;

	private final SimulatedEngineSettings settings;

	private final EventQueue events;

	private final Deque<EngineRequest> queuedRequests = new ArrayDeque<>();

	private final List<EngineRequest> runningRequests = new ArrayList<>();

	private final Map<Long, Integer> cachedPrefixTokens = new LinkedHashMap<>(16, 0.75f, true);

	private long cachedTokens;

	private long reservedTokens;

	private double copyEndMillis;

	private boolean stepScheduled;

	private boolean up = true;

	private long processedPrefixTokens;

	SimulatedEngine(TargetEntry entry, SimulatedEngineSettings settings, EventQueue events) {
		this.entry = entry;
		this.settings = settings;
		this.events = events;
	}

	TargetEntry entry() {
		return this.entry;
	}

	boolean isUp() {
		return this.up;
	}

	int load() {
		return this.runningRequests.size() + this.queuedRequests.size();
	}

	/**
	 * Returns the number of shared prefix tokens that the engine had to process because
	 * they were not cached.
	 * @return the number of tokens
	 */
	long processedPrefixTokens() {
		return this.processedPrefixTokens;
	}

	LoadSample sample() {
		return new LoadSample(this.runningRequests.size(), this.queuedRequests.size(), this.settings.slots(),
				NORMAL_SLOWNESS_PERCENT, (long) this.events.nowMillis());
	}

	/**
	 * Fails all requests and drops all cached prefixes.
	 */
	void crash() {
		this.up = false;
		List<EngineRequest> failedRequests = new ArrayList<>(this.runningRequests);
		failedRequests.addAll(this.queuedRequests);
		this.runningRequests.clear();
		this.queuedRequests.clear();
		this.cachedPrefixTokens.clear();
		this.cachedTokens = 0;
		this.reservedTokens = 0;
		failedRequests.forEach((request) -> request.listener().onCrash());
	}

	/**
	 * Restarts the engine with an empty cache.
	 */
	void restart() {
		this.up = true;
	}

	/**
	 * Accepts a call unless the engine is down or its queue is full.
	 * @param call the call
	 * @param source an engine from which to copy the prefix if it is not cached here
	 * @param listener receives the progress of the request
	 * @return whether the call was accepted
	 */
	boolean accept(SimulatedCall call, Optional<SimulatedEngine> source, EngineRequest.RequestListener listener) {
		if (!this.up || this.queuedRequests.size() >= this.settings.maxQueuedRequests()) {
			return false;
		}
		source.filter((other) -> other.isCached(call.prefix()) && !isCached(call.prefix()))
			.ifPresent((other) -> copyPrefix(call.prefix()));
		this.queuedRequests.add(new EngineRequest(call, listener));
		scheduleStep();
		return true;
	}

	private boolean isCached(SharedPrefix prefix) {
		return this.up && this.cachedPrefixTokens.containsKey(prefix.hash());
	}

	// Copies run one after the other.
	private void copyPrefix(SharedPrefix prefix) {
		double startMillis = Math.max(this.copyEndMillis, this.events.nowMillis());
		this.copyEndMillis = startMillis + prefix.tokens() / this.settings.copyTokensPerMillis();
		cachePrefix(prefix);
	}

	private void cachePrefix(SharedPrefix prefix) {
		if (this.cachedPrefixTokens.put(prefix.hash(), prefix.tokens()) == null) {
			this.cachedTokens += prefix.tokens();
		}
		Iterator<Map.Entry<Long, Integer>> oldest = this.cachedPrefixTokens.entrySet().iterator();
		while (this.cachedTokens + this.reservedTokens > this.settings.memoryTokens() && oldest.hasNext()) {
			this.cachedTokens -= oldest.next().getValue();
			oldest.remove();
		}
	}

	private void scheduleStep() {
		if (this.stepScheduled) {
			return;
		}
		admitRequests();
		if (this.runningRequests.isEmpty()) {
			return;
		}
		double promptTokens = processPrompts();
		this.stepScheduled = true;
		double waitMillis = Math.max(0, this.copyEndMillis - this.events.nowMillis());
		this.events.schedule(waitMillis + this.settings.stepDurationMillis(this.runningRequests.size(), promptTokens),
				this::finishStep);
	}

	private void admitRequests() {
		while (!this.queuedRequests.isEmpty() && this.runningRequests.size() < this.settings.slots()
				&& this.reservedTokens + this.queuedRequests.peek().call().totalTokens() <= this.settings
					.memoryTokens()) {
			EngineRequest request = this.queuedRequests.remove();
			SharedPrefix prefix = request.call().prefix();
			int uniqueTokens = request.call().type().uniqueTokens();
			boolean hasPrefix = isCached(prefix);
			if (!hasPrefix) {
				this.processedPrefixTokens += prefix.tokens();
			}
			request.setPromptTokens(hasPrefix ? uniqueTokens : uniqueTokens + prefix.tokens());
			this.reservedTokens += request.call().totalTokens();
			this.runningRequests.add(request);
		}
	}

	private double processPrompts() {
		double remainingTokens = this.settings.chunkTokens();
		for (EngineRequest request : this.runningRequests) {
			if (remainingTokens > 0 && !request.isPromptProcessed()) {
				remainingTokens -= request.processPrompt(remainingTokens);
				if (request.isPromptProcessed()) {
					cachePrefix(request.call().prefix());
				}
			}
		}
		return this.settings.chunkTokens() - remainingTokens;
	}

	private void finishStep() {
		this.stepScheduled = false;
		for (EngineRequest request : List.copyOf(this.runningRequests)) {
			if (request.isPromptProcessed() && request.generateToken()) {
				this.runningRequests.remove(request);
				this.reservedTokens -= request.call().totalTokens();
				request.listener().onCompletion();
			}
		}
		scheduleStep();
	}

}
