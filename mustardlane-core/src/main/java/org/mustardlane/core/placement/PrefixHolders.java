package org.mustardlane.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.TargetId;

/**
 * Tracks which engines have which prompt prefixes cached and finds engines to copy a
 * prefix from. Only the responses that pass through this router are recorded.
 *
 * <p>
 * Copying a prefix between engines takes milliseconds, whereas prefilling it again delays
 * all requests on the engine. Not thread-safe.
 */
public final class PrefixHolders {

	/**
	 * Engines evict the least recently used prefixes; a prefix used within this time is
	 * probably still cached.
	 */
	private static final int CACHED_MILLIS = 30_000;

	/**
	 * An engine that has been known for this long is assumed to hold the prefixes that
	 * rendezvous hashing assigns to it, because other routers send it requests as well.
	 */
	private static final int NEW_ENGINE_MILLIS = 15_000;

	/**
	 * Prefilling a shorter prefix again costs an engine little more than a copy.
	 */
	private static final int MIN_COPY_TOKENS = 256;

	/**
	 * A leaving engine serves for two more seconds, and more than one of them may have
	 * passed before this router learns about it.
	 */
	private static final int LEFT_ENGINE_USABLE_MILLIS = 1000;

	private static final int MAX_PREFIXES = 4096;

	private static final int MAX_ENGINES = 8192;

	private final Map<Long, List<Holder>> holders = new LruMap<>(MAX_PREFIXES);

	private final Map<TargetId, Long> firstSeenMillis = new LruMap<>(MAX_ENGINES);

	private final Map<PoolId, Set<TargetEntry>> previousPools = new HashMap<>();

	private final Map<PoolId, List<TargetEntry>> lastPoolLists = new HashMap<>();

	private final Map<TargetEntry, Long> leftAtMillis = new LruMap<>(MAX_ENGINES);

	/**
	 * Records that an engine has begun to respond to a request with a prefix.
	 * @param prefix the prefix of the request
	 * @param target the engine
	 * @param nowMillis the current time
	 */
	public void recordResponse(SharedPrefix prefix, TargetEntry target, long nowMillis) {
		List<Holder> prefixHolders = this.holders.computeIfAbsent(prefix.hash(), (hash) -> new ArrayList<>());
		prefixHolders.removeIf((holder) -> holder.target().id().equals(target.id())
				|| nowMillis - holder.usedAtMillis() > CACHED_MILLIS);
		prefixHolders.add(new Holder(target, nowMillis));
	}

	/**
	 * Finds an engine from which the target can copy a prefix instead of prefilling it.
	 * @param prefix the prefix of the request
	 * @param target the engine that the request is sent to
	 * @param pool the engines of the pool that accept new requests
	 * @param nowMillis the current time
	 * @return the engine to copy from, or empty if the prefix is too short, if the target
	 * probably holds it already or if no other engine is likely to
	 */
	public Optional<TargetEntry> findCopySource(SharedPrefix prefix, TargetEntry target, List<TargetEntry> pool,
			long nowMillis) {
		updatePool(target.pool(), pool, nowMillis);
		if (prefix.tokens() < MIN_COPY_TOKENS) {
			return Optional.empty();
		}
		List<Holder> prefixHolders = this.holders.getOrDefault(prefix.hash(), List.of());
		List<Holder> probableHolders = prefixHolders.stream()
			.filter((holder) -> nowMillis - holder.usedAtMillis() <= CACHED_MILLIS)
			.toList();
		if (probableHolders.stream().anyMatch((holder) -> holder.target().id().equals(target.id()))) {
			return Optional.empty();
		}
		if (!probableHolders.isEmpty()) {
			return Optional.of(probableHolders.get(probableHolders.size() - 1).target());
		}
		return findByRendezvous(prefix, target, pool, nowMillis);
	}

	/**
	 * Removes an engine that cannot be reached from the holders of all prefixes.
	 * @param target the engine
	 */
	public void removeEngine(TargetId target) {
		this.holders.values()
			.forEach((prefixHolders) -> prefixHolders.removeIf((holder) -> holder.target().id().equals(target)));
	}

	private void updatePool(PoolId id, List<TargetEntry> pool, long nowMillis) {
		if (this.lastPoolLists.put(id, pool) == pool) {
			// The directory creates a new list whenever it changes.
			return;
		}
		Set<TargetEntry> current = new HashSet<>(pool);
		Set<TargetEntry> previous = this.previousPools.put(id, current);
		if (current.equals(previous)) {
			return;
		}
		pool.forEach((engine) -> this.firstSeenMillis.putIfAbsent(engine.id(), nowMillis));
		if (previous != null) {
			previous.stream()
				.filter((engine) -> !current.contains(engine))
				.forEach((engine) -> this.leftAtMillis.put(engine, nowMillis));
		}
		current.forEach(this.leftAtMillis::remove);
	}

	// Without an observed response, the rendezvous order decides. The first engine other
	// than the target is the likely holder, unless the target precedes it and has been
	// known long enough to hold the prefix itself.
	private Optional<TargetEntry> findByRendezvous(SharedPrefix prefix, TargetEntry target, List<TargetEntry> pool,
			long nowMillis) {
		List<TargetEntry> rankedEngines = new ArrayList<>(pool);
		this.leftAtMillis.forEach((engine, leftAtMillis) -> {
			if (engine.pool().equals(target.pool()) && nowMillis - leftAtMillis < LEFT_ENGINE_USABLE_MILLIS) {
				rankedEngines.add(engine);
			}
		});
		Comparator<TargetEntry> byScore = Comparator.comparing(
				(engine) -> RendezvousHash.score(prefix.hash(), RendezvousHash.hash(engine.id().value())),
				Long::compareUnsigned);
		rankedEngines.sort(byScore.reversed());
		for (TargetEntry engine : rankedEngines) {
			if (engine.id().equals(target.id()) && !isNew(engine, nowMillis)) {
				return Optional.empty();
			}
			if (!engine.id().equals(target.id())) {
				return Optional.of(engine);
			}
		}
		return Optional.empty();
	}

	private boolean isNew(TargetEntry engine, long nowMillis) {
		return nowMillis - this.firstSeenMillis.getOrDefault(engine.id(), nowMillis) < NEW_ENGINE_MILLIS;
	}

	private record Holder(TargetEntry target, long usedAtMillis) {

	}

}
