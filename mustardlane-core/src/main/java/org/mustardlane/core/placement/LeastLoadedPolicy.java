package org.mustardlane.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;

import org.mustardlane.core.directory.TargetEntry;

/**
 * Chooses the target with the lowest expected load per slot and prefers the failure
 * domain of the router among targets with similar load.
 *
 * <p>
 * Random jitter keeps routers with the same view from all choosing the same target.
 */
public final class LeastLoadedPolicy implements PlacementPolicy {

	/**
	 * Number of requests added to the load of a target in another failure domain.
	 */
	private static final double OTHER_DOMAIN_PENALTY = 0.75;

	private static final double MAX_JITTER = 0.5;

	private static final double NORMAL_SLOWNESS_PERCENT = 100;

	private final DoubleSupplier random;

	/**
	 * Creates the policy.
	 * @param random supplies random numbers from 0 (inclusive) to 1 (exclusive)
	 */
	public LeastLoadedPolicy(DoubleSupplier random) {
		this.random = random;
	}

	@Override
	public Optional<TargetEntry> choose(PlacementRequest request, LoadTable loads) {
		List<TargetEntry> usable = CandidateFilter.filterUsable(request, loads);
		TargetEntry best = null;
		double bestScore = Double.POSITIVE_INFINITY;
		for (TargetEntry target : usable) {
			double score = score(target, request, loads.of(target.id()));
			if (score < bestScore) {
				best = target;
				bestScore = score;
			}
		}
		return Optional.ofNullable(best);
	}

	private double score(TargetEntry target, PlacementRequest request, TargetLoad load) {
		double domainPenalty = target.domain().equals(request.domain()) ? 0 : OTHER_DOMAIN_PENALTY;
		double expectedRequests = load.estimate(request.nowMillis()) + 1 + domainPenalty
				+ MAX_JITTER * this.random.getAsDouble();
		return expectedRequests * load.sample().slownessPercent() / NORMAL_SLOWNESS_PERCENT
				/ Math.max(1, target.slots());
	}

}
