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
 * An engine that runs requests in batches, reads prompts in chunks between their tokens
 * and keeps shared prefixes while it has room.
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
	 * Returns how many tokens of prefixes were read here.
	 * @return the number
	 */
	long readPrefixTokens() {
		return this.readTokens;
	}

	LoadSample sample() {
		return new LoadSample(this.running.size(), this.waiting.size(), this.shape.slots(), USUAL_PERCENT,
				(long) this.events.nowMillis());
	}

	/**
	 * Ends all runs and forgets all prefixes.
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
	 * Starts again, empty.
	 */
	void restart() {
		this.up = true;
	}

	/**
	 * Takes a call unless too many wait.
	 * @param call the call
	 * @param source an engine from which the prefix is copied where it is not kept
	 * @param listener is told what becomes of the call
	 * @return whether the call was taken
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

	// Copies follow one another.
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
