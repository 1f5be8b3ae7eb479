package org.mustardlane.core.placement;

import java.util.List;

import org.mustardlane.core.directory.TargetEntry;

/**
 * Filters out candidates that are likely to fail.
 */
final class CandidateFilter {

	/**
	 * How far the failure rate of a target may exceed the lowest one among the candidates
	 * before the target is filtered out.
	 */
	private static final double MAX_EXCESS_FAILURE_RATE = 0.25;

	private CandidateFilter() {
	}

	/**
	 * Filters out paused targets, then targets that fail far more often than the others.
	 * A filter that would leave no target is skipped.
	 * @param request the request with its candidates
	 * @param loads the loads of the targets
	 * @return the targets to choose from, empty only if the request has no candidates
	 */
	static List<TargetEntry> filterUsable(PlacementRequest request, LoadTable loads) {
		List<TargetEntry> unpaused = request.candidates()
			.stream()
			.filter((target) -> !loads.isPaused(target, request.domain(), request.nowMillis()))
			.toList();
		List<TargetEntry> remaining = unpaused.isEmpty() ? request.candidates() : unpaused;
		double lowestFailureRate = remaining.stream()
			.mapToDouble((target) -> loads.of(target.id()).failureRate())
			.min()
			.orElse(0);
		List<TargetEntry> reliable = remaining.stream()
			.filter((target) -> loads.of(target.id()).failureRate() <= lowestFailureRate + MAX_EXCESS_FAILURE_RATE)
			.toList();
		return reliable.isEmpty() ? remaining : reliable;
	}

}
