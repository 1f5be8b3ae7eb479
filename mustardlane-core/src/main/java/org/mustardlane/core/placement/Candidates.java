package org.mustardlane.core.placement;

import java.util.List;

import org.mustardlane.core.directory.TargetEntry;

/**
 * Narrows candidates down to those worth trying.
 */
final class Candidates {

	/**
	 * Failures above those of the pool from which on a target is tried last.
	 */
	private static final double EXCESS_FAILURE_SHARE = 0.25;

	private Candidates() {
	}

	/**
	 * Leaves out targets that are paused, then those that fail far more often than the
	 * others, unless nothing would be left.
	 * @param request the request with its candidates
	 * @param loads their loads
	 * @return the targets to choose from, empty only where there was no candidate
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
