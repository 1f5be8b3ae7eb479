package org.mustardlane.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.Rendezvous;

/**
 * Takes the first target in the rendezvous order of the shared prefix whose load is below
 * a bound.
 *
 * <p>
 * The order follows from names alone, so all routers agree on the home of a prefix, and a
 * hot prefix overflows to the same next targets everywhere. Requests without a shared
 * prefix go to the least loaded target.
 */
public final class PrefixPolicy implements PlacementPolicy {

	/**
	 * Load that a home may have for a prefix that is read again at once, as a factor of
	 * the mean.
	 */
	private static final double SHORT_PREFIX_FACTOR = 1.25;

	/**
	 * The same for a prefix that delays all requests of an engine while it is read again;
	 * below the bound of twice the mean that must hold.
	 */
	private static final double LONG_PREFIX_FACTOR = 1.75;

	private static final int LONG_PREFIX_TOKENS = 8000;

	/**
	 * Load above the mean that a home may have in any case, in requests.
	 */
	private static final double LOAD_SLACK = 2;

	private final PlacementPolicy withoutPrefix;

	/**
	 * Creates the policy.
	 * @param withoutPrefix places requests that share no prefix, and those for which all
	 * targets are above the bound
	 */
	public PrefixPolicy(PlacementPolicy withoutPrefix) {
		this.withoutPrefix = withoutPrefix;
	}

	@Override
	public Optional<TargetEntry> choose(PlacementRequest request, LoadTable loads) {
		if (request.prefix().isEmpty()) {
			return this.withoutPrefix.choose(request, loads);
		}
		long now = request.nowMillis();
		List<TargetEntry> usable = Candidates.usable(request, loads);
		double mean = usable.stream().mapToInt((target) -> loads.of(target.id()).estimate(now)).average().orElse(0);
		SharedPrefix prefix = request.prefix().get();
		double bound = mean * loadFactor(prefix.tokens()) + LOAD_SLACK;
		return usable.stream()
			.filter((target) -> loads.of(target.id()).estimate(now) < bound)
			.max(Comparator.comparing((target) -> Rendezvous.score(prefix.hash(), Rendezvous.hash(target.id().value())),
					Long::compareUnsigned))
			.or(() -> this.withoutPrefix.choose(request, loads));
	}

	private static double loadFactor(int tokens) {
		double part = Math.min(1.0, (double) tokens / LONG_PREFIX_TOKENS);
		return SHORT_PREFIX_FACTOR + part * (LONG_PREFIX_FACTOR - SHORT_PREFIX_FACTOR);
	}

}
