package org.mustardlane.core.placement;

import java.util.List;

import org.mustardlane.core.directory.TargetEntry;

/**
 * Filters out candidates that are likely to fail.
 */
final class Candidates {

	/**
	 * How far the failure rate of a target may exceed the lowest one among the candidates
	 * before the target is filtered out.
	 */
	private static final double EXCESS_FAILURE_SHARE = 0.25;

	private Candidates() {
	}

	/**
	 * Filters out paused targets, then targets that fail far more often than the others.
	 * A filter that would leave no target is skipped.
	 * @param request the request with its candidates
	 * @param loads the loads of the targets
	 * @return the targets to choose from, empty only if the request has no candidates
	 */
	static List<TargetEntry> usable(PlacementRequest request, LoadTable loads) {
		List<TargetEntry> awake = request.candidates()
			.stream()
			.filter((target) -> !loads.isPaused(target, request.domain(), request.nowMillis()))
			.toList();
		List<TargetEntry> reachable = awake.isEmpty() ? request.candidates() : awake;
		double usual = reachable.stream().mapToDouble((target) -> loads.of(target.id()).failureShare()).min().orElse(0);
		List<TargetEntry> sound = reachable.stream()
			.filter((target) -> loads.of(target.id()).failureShare() <= usual + EXCESS_FAILURE_SHARE)
			.toList();
		return sound.isEmpty() ? reachable : sound;
	}

}
