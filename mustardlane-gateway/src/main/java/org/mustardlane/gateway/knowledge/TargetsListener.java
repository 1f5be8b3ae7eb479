package org.mustardlane.gateway.knowledge;

import java.util.List;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Passes the records that targets publish about themselves from the log to the routing
 * state.
 */
public final class TargetsListener implements TopicListener {

	private final RoutingState routingState;

	private final Runnable onLogRegained;

	private final DecisionLog log;

	/**
	 * Creates a listener.
	 * @param routingState state to update
	 * @param onLogRegained called when the log can be read again
	 * @param log log of decisions
	 */
	public TargetsListener(RoutingState routingState, Runnable onLogRegained, DecisionLog log) {
		this.routingState = routingState;
		this.onLogRegained = onLogRegained;
		this.log = log;
	}

	@Override
	public void onSnapshot(List<KeyedRecord> records, LogPosition end) {
		this.routingState.replaceTargets(records, end);
	}

	@Override
	public void onRecords(List<KeyedRecord> records) {
		this.routingState.applyTargets(records);
	}

	@Override
	public void onRestored(LogPosition before, LogPosition end) {
		this.log.warn(LogEvent.LOG_RESTORED, "topic", Topic.TARGETS, "before", before, "end", end);
	}

	@Override
	public void onUnavailable(String reason) {
		this.routingState.setLogUnavailable(true);
		this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.TARGETS, "reason", reason);
	}

	@Override
	public void onAvailable() {
		this.routingState.setLogUnavailable(false);
		this.onLogRegained.run();
		this.log.write(LogEvent.DEPENDENCY_REGAINED, "dependency", "log", "topic", Topic.TARGETS);
	}

}
