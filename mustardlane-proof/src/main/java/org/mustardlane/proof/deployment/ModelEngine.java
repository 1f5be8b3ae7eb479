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
final class ModelEngine {

	private static final int USUAL_PERCENT = 100;

	private final TargetEntry entry;

	private final EngineShape shape;

	private final EventQueue events;

	private final Deque<ModelRun> waiting = new ArrayDeque<>();

	private final List<ModelRun> running = new ArrayList<>();

	private final Map<Long, Integer> kept = new LinkedHashMap<>(16, 0.75f, true);

	private long keptTokens;

	private long usedTokens;

	private double copyEndsAtMillis;

	private boolean stepping;

	private boolean up = true;

	private long readTokens;

	ModelEngine(TargetEntry entry, EngineShape shape, EventQueue events) {
		this.entry = entry;
		this.shape = shape;
		this.events = events;
	}

	TargetEntry entry() {
		return this.entry;
	}

	boolean isUp() {
		return this.up;
	}

	int load() {
		return this.running.size() + this.waiting.size();
	}

	/**
	 * Returns the number of shared prefix tokens that the engine had to process because
	 * they were not cached.
	 * @return the number of tokens
	 */
	long readPrefixTokens() {
		return this.readTokens;
	}

	LoadSample sample() {
		return new LoadSample(this.running.size(), this.waiting.size(), this.shape.slots(), USUAL_PERCENT,
				(long) this.events.nowMillis());
	}

	/**
	 * Fails all requests and drops all cached prefixes.
	 */
	void crash() {
		this.up = false;
		List<ModelRun> broken = new ArrayList<>(this.running);
		broken.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		this.kept.clear();
		this.keptTokens = 0;
		this.usedTokens = 0;
		broken.forEach((run) -> run.listener().broken());
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
	boolean accept(ModelCall call, Optional<ModelEngine> source, ModelRun.RunListener listener) {
		if (!this.up || this.waiting.size() >= this.shape.queuedRequests()) {
			return false;
		}
		source.filter((other) -> other.keeps(call.prefix()) && !keeps(call.prefix()))
			.ifPresent((other) -> copy(call.prefix()));
		this.waiting.add(new ModelRun(call, listener));
		step();
		return true;
	}

	private boolean keeps(SharedPrefix prefix) {
		return this.up && this.kept.containsKey(prefix.hash());
	}

	// Copies run one after the other.
	private void copy(SharedPrefix prefix) {
		double begins = Math.max(this.copyEndsAtMillis, this.events.nowMillis());
		this.copyEndsAtMillis = begins + prefix.tokens() / this.shape.copyTokensPerMillis();
		keep(prefix);
	}

	private void keep(SharedPrefix prefix) {
		if (this.kept.put(prefix.hash(), prefix.tokens()) == null) {
			this.keptTokens += prefix.tokens();
		}
		Iterator<Map.Entry<Long, Integer>> oldest = this.kept.entrySet().iterator();
		while (this.keptTokens + this.usedTokens > this.shape.memoryTokens() && oldest.hasNext()) {
			this.keptTokens -= oldest.next().getValue();
			oldest.remove();
		}
	}

	private void step() {
		if (this.stepping) {
			return;
		}
		admit();
		if (this.running.isEmpty()) {
			return;
		}
		double promptTokens = read();
		this.stepping = true;
		double waitMillis = Math.max(0, this.copyEndsAtMillis - this.events.nowMillis());
		this.events.after(waitMillis + this.shape.durationMillis(this.running.size(), promptTokens), this::generate);
	}

	private void admit() {
		while (!this.waiting.isEmpty() && this.running.size() < this.shape.slots()
				&& this.usedTokens + this.waiting.peek().call().tokens() <= this.shape.memoryTokens()) {
			ModelRun next = this.waiting.remove();
			SharedPrefix prefix = next.call().prefix();
			int own = next.call().kind().ownTokens();
			boolean known = keeps(prefix);
			if (!known) {
				this.readTokens += prefix.tokens();
			}
			next.admit(known ? own : own + prefix.tokens());
			this.usedTokens += next.call().tokens();
			this.running.add(next);
		}
	}

	private double read() {
		double left = this.shape.chunkTokens();
		for (ModelRun run : this.running) {
			if (left > 0 && !run.isRead()) {
				left -= run.read(left);
				if (run.isRead()) {
					keep(run.call().prefix());
				}
			}
		}
		return this.shape.chunkTokens() - left;
	}

	private void generate() {
		this.stepping = false;
		for (ModelRun run : List.copyOf(this.running)) {
			if (run.isRead() && run.generate()) {
				this.running.remove(run);
				this.usedTokens -= run.call().tokens();
				run.listener().ended();
			}
		}
		step();
	}

}
