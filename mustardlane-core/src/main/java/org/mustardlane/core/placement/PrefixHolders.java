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
import org.mustardlane.core.model.common.Rendezvous;
import org.mustardlane.core.model.common.TargetId;

/**
 * Which engines hold which prefixes, as far as the answers that this router passed on
 * tell, and from where an engine may copy one that it does not hold.
 *
 * <p>
 * A copy between engines takes milliseconds where reading the prompt again delays all
 * requests of the engine. Not thread-safe.
 */
public final class PrefixHolders {

	/**
	 * Engines drop what was least recently used; a prefix that was used within this time
	 * is likely to be there.
	 */
	private static final int WARM_MILLIS = 30_000;

	/**
	 * An engine that has been known for this long has been given its prefixes by some
	 * router.
	 */
	private static final int YOUNG_MILLIS = 15_000;

	/**
	 * Below this, reading again costs an engine little more than a copy.
	 */
	private static final int LEAST_TOKENS = 256;

	/**
	 * An engine that leaves goes on serving for two seconds, of which more than one may
	 * have passed before this router knows.
	 */
	private static final int LEAVING_MILLIS = 1000;

	private static final int MOST_PREFIXES = 4096;

	private static final int MOST_ENGINES = 8192;

	private final Map<Long, List<Holder>> holders = new NewestEntries<>(MOST_PREFIXES);

	private final Map<TargetId, Long> firstSeenMillis = new NewestEntries<>(MOST_ENGINES);

	private final Map<PoolId, Set<TargetEntry>> poolsBefore = new HashMap<>();

	private final Map<TargetEntry, Long> leftAtMillis = new NewestEntries<>(MOST_ENGINES);

	/**
	 * Notes that an engine has begun to answer a request with a prefix.
	 * @param prefix the prefix
	 * @param target the engine
	 * @param nowMillis the time
	 */
	public void answered(SharedPrefix prefix, TargetEntry target, long nowMillis) {
		List<Holder> known = this.holders.computeIfAbsent(prefix.hash(), (hash) -> new ArrayList<>());
		known.removeIf((holder) -> holder.target().id().equals(target.id())
				|| nowMillis - holder.usedAtMillis() > WARM_MILLIS);
		known.add(new Holder(target, nowMillis));
	}

	/**
	 * Finds an engine from which another one may copy a prefix before it reads it.
	 * @param prefix the prefix
	 * @param target the engine that is to answer
	 * @param pool the engines that take work
	 * @param nowMillis the time
	 * @return the engine to copy from, or empty where the target is likely to hold the
	 * prefix or no other one is
	 */
	public Optional<TargetEntry> source(SharedPrefix prefix, TargetEntry target, List<TargetEntry> pool,
			long nowMillis) {
		notePool(target.pool(), pool, nowMillis);
		if (prefix.tokens() < LEAST_TOKENS) {
			return Optional.empty();
		}
		List<Holder> known = this.holders.getOrDefault(prefix.hash(), List.of());
		List<Holder> warm = known.stream()
			.filter((holder) -> nowMillis - holder.usedAtMillis() <= WARM_MILLIS)
			.toList();
		if (warm.stream().anyMatch((holder) -> holder.target().id().equals(target.id()))) {
			return Optional.empty();
		}
		if (!warm.isEmpty()) {
			return Optional.of(warm.get(warm.size() - 1).target());
		}
		return likelyHolder(prefix, target, pool, nowMillis);
	}

	/**
	 * Forgets an engine that can not be reached.
	 * @param target the engine
	 */
	public void lost(TargetId target) {
		this.holders.values().forEach((known) -> known.removeIf((holder) -> holder.target().id().equals(target)));
	}

	private void notePool(PoolId id, List<TargetEntry> pool, long nowMillis) {
		Set<TargetEntry> now = new HashSet<>(pool);
		Set<TargetEntry> before = this.poolsBefore.put(id, now);
		if (now.equals(before)) {
			return;
		}
		pool.forEach((engine) -> this.firstSeenMillis.putIfAbsent(engine.id(), nowMillis));
		if (before != null) {
			before.stream()
				.filter((engine) -> !now.contains(engine))
				.forEach((engine) -> this.leftAtMillis.put(engine, nowMillis));
		}
		now.forEach(this.leftAtMillis::remove);
	}

	// Without own answers the order of homes tells: the first other one that is not
	// young.
	private Optional<TargetEntry> likelyHolder(SharedPrefix prefix, TargetEntry target, List<TargetEntry> pool,
			long nowMillis) {
		List<TargetEntry> order = new ArrayList<>(pool);
		this.leftAtMillis.forEach((engine, leftAt) -> {
			if (engine.pool().equals(target.pool()) && nowMillis - leftAt < LEAVING_MILLIS) {
				order.add(engine);
			}
		});
		Comparator<TargetEntry> byScore = Comparator.comparing(
				(engine) -> Rendezvous.score(prefix.hash(), Rendezvous.hash(engine.id().value())),
				Long::compareUnsigned);
		order.sort(byScore.reversed());
		for (TargetEntry engine : order) {
			if (engine.id().equals(target.id()) && !isYoung(engine, nowMillis)) {
				return Optional.empty();
			}
			if (!engine.id().equals(target.id())) {
				return Optional.of(engine);
			}
		}
		return Optional.empty();
	}

	private boolean isYoung(TargetEntry engine, long nowMillis) {
		return nowMillis - this.firstSeenMillis.getOrDefault(engine.id(), nowMillis) < YOUNG_MILLIS;
	}

	private record Holder(TargetEntry target, long usedAtMillis) {

	}

}
