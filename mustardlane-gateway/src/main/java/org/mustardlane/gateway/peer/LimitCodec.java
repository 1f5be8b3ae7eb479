package org.mustardlane.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.placement.FleetPosition;
import org.mustardlane.core.placement.LoadTable;
import org.mustardlane.core.placement.TargetLimit;
import org.mustardlane.protocol.KnowledgeDigest;
import org.mustardlane.protocol.ReportedLimit;

/**
 * Converts the limits that targets report to and from gRPC messages.
 */
final class LimitCodec {

	/**
	 * All routers have learnt by then that a limit has ended.
	 */
	private static final int MAX_AGE_WITHOUT_LIMIT_MILLIS = 30_000;

	private LimitCodec() {
	}

	/**
	 * Adds the limits in force, and those that have ended recently, to a digest.
	 * @param digest digest to add the limits to
	 * @param loads loads of all targets
	 * @param nowMillis current time
	 */
	static void addTo(KnowledgeDigest.Builder digest, LoadTable loads, long nowMillis) {
		loads.snapshot().forEach((target, load) -> {
			TargetLimit limit = load.limit();
			long ageMillis = nowMillis - limit.reportedAtMillis();
			if (load.wasEverLimited() && (limit.isLimited() || ageMillis <= MAX_AGE_WITHOUT_LIMIT_MILLIS)) {
				ReportedLimit.Builder message = ReportedLimit.newBuilder()
					.setTarget(target.value())
					.setAgeMillis((int) Math.min(Integer.MAX_VALUE, ageMillis));
				limit.perSecond().ifPresent(message::setPerSecond);
				digest.addLimits(message);
			}
		});
	}

	/**
	 * Applies the limits that a peer relayed.
	 * @param digest digest of the peer
	 * @param loads table to update
	 * @param position this router
	 * @param nowMillis current time
	 * @return the targets that have got a limit, or have none any more
	 */
	static List<TargetId> apply(KnowledgeDigest digest, LoadTable loads, FleetPosition position, long nowMillis) {
		List<TargetId> changedTargets = new ArrayList<>();
		for (ReportedLimit message : digest.getLimitsList()) {
			TargetId target = new TargetId(message.getTarget());
			OptionalDouble perSecond = message.hasPerSecond() ? OptionalDouble.of(message.getPerSecond())
					: OptionalDouble.empty();
			TargetLimit limit = new TargetLimit(perSecond, nowMillis - message.getAgeMillis());
			if (loads.of(target).updateLimit(limit, position)) {
				changedTargets.add(target);
			}
		}
		return changedTargets;
	}

}
