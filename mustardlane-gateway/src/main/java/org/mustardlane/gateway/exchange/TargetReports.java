package org.mustardlane.gateway.exchange;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.placement.Brittleness;
import org.mustardlane.core.placement.RequestedPause;
import org.mustardlane.core.placement.TargetLimit;
import org.mustardlane.core.placement.TargetLoad;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.wire.ResponseHead;

/**
 * Stores what targets say of themselves in the heads of their responses.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class TargetReports {

	private final ExchangeContext context;

	TargetReports(ExchangeContext context) {
		this.context = context;
	}

	/**
	 * Stores what a target says.
	 * @param head head of the response
	 * @param target entry of the target at the time it was sent the request
	 */
	void apply(ResponseHead head, TargetEntry target) {
		long nowMillis = this.context.nowMillis();
		TargetLoad load = this.context.loads().of(target.id());
		head.load().ifPresent(load::updateSample);
		if (head.status() == ResponseChecks.MISDIRECTED_REQUEST) {
			// Another target at the same address has responded.
			return;
		}
		updateLimit(head, target, load, nowMillis);
		load.updateBrittleness(new Brittleness(head.fatalRefusalsPerSecond(), nowMillis), this.context.fleetPosition());
		if (head.leaving()) {
			this.context.routingState().markLeaving(target);
		}
		head.pauseMillis()
			.ifPresent((pauseMillis) -> load
				.recordRequestedPause(new RequestedPause(target.startedAtMillis(), nowMillis + pauseMillis)));
	}

	// A refusal may lack the limit.
	private void updateLimit(ResponseHead head, TargetEntry target, TargetLoad load, long nowMillis) {
		boolean hasLimit = head.limitPerSecond().isPresent();
		boolean isUnchanged = !hasLimit && !load.limit().isLimited();
		if (isUnchanged || (head.notExecuted() && !hasLimit)) {
			return;
		}
		if (load.updateLimit(new TargetLimit(head.limitPerSecond(), nowMillis), this.context.fleetPosition())) {
			this.context.announceNews();
			this.context.log()
				.write(LogEvent.TARGET_LIMIT_CHANGED, "target", target.id(), "limitPerSecond", load.limit().toLogText(),
						"source", "response");
		}
	}

}
