package org.mustardlane.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.TargetId;

/**
 * Chooses the first target in the rendezvous order of the shared prefix whose load is
 * below a bound.
 *
 * <p>
 * The order depends only on the names of the targets. All routers therefore prefer the
 * same target for a prefix, its home, and overflow from it to the same next targets.
 * Requests without a shared prefix are placed by another policy. Not thread-safe.
 */
public final class PrefixPolicy implements PlacementPolicy {

	/**
	 * Maximum load of the chosen target, as a factor of the mean load, for the shortest
	 * prefixes. Prefilling these takes hardly any time.
	 */
	private static final double SHORT_PREFIX_FACTOR = 1.25;

	/**
	 * Maximum load factor for prefixes of {@link #LONG_PREFIX_TOKENS} or more. Prefilling
	 * these delays all requests on an engine. The factor stays below the required limit
	 * of twice the mean load.
	 */
	private static final double LONG_PREFIX_FACTOR = 1.75;

	private static final int LONG_PREFIX_TOKENS = 8000;

	/**
	 * Number of requests added to the bound, which matters at low load.
	 */
	private static final double LOAD_SLACK_REQUESTS = 2;

	/**
	 * Number of requests above the mean load for targets whose load is not known. All
	 * routers may choose the same one at the same time, so each sends it one request at
	 * first.
	 */
	private static final double UNKNOWN_LOAD_SLACK_REQUESTS = 0.5;

	private static final int MAX_TARGETS = 8192;

	private final PlacementPolicy fallback;

	private final Map<TargetId, Long> targetHashes = new LruMap<>(MAX_TARGETS);

	/**
	 * Creates the policy.
	 * @param fallback places requests without a shared prefix and requests for which no
	 * target is below the bound
	 */
	public PrefixPolicy(PlacementPolicy fallback) {
		this.fallback = fallback;
	}

	@Override
	public Optional<TargetEntry> choose(PlacementRequest request, LoadTable loads) {
		if (request.prefix().isEmpty()) {
			return this.fallback.choose(request, loads);
		}
		long nowMillis = request.nowMillis();
		List<TargetEntry> usable = CandidateFilter.filterUsable(request, loads);
		double meanLoad = usable.stream()
			.mapToInt((target) -> loads.of(target.id()).estimate(nowMillis))
			.average()
			.orElse(0);
		SharedPrefix prefix = request.prefix().get();
		double knownLoadBound = meanLoad * loadFactor(prefix.tokens()) + LOAD_SLACK_REQUESTS;
		double unknownLoadBound = meanLoad + UNKNOWN_LOAD_SLACK_REQUESTS;
		return usable.stream().filter((target) -> {
			TargetLoad load = loads.of(target.id());
			double loadBound = load.isUnknown(nowMillis) ? unknownLoadBound : knownLoadBound;
			return load.estimate(nowMillis) < loadBound;
		})
			.max(Comparator.comparing((target) -> RendezvousHash.score(prefix.hash(), hashOf(target.id())),
					Long::compareUnsigned))
			.or(() -> this.fallback.choose(request, loads));
	}

	private long hashOf(TargetId target) {
		return this.targetHashes.computeIfAbsent(target, (id) -> RendezvousHash.hash(id.value()));
	}

	private static double loadFactor(int tokens) {
		double lengthRatio = Math.min(1.0, (double) tokens / LONG_PREFIX_TOKENS);
		return SHORT_PREFIX_FACTOR + lengthRatio * (LONG_PREFIX_FACTOR - SHORT_PREFIX_FACTOR);
	}

}
