package org.mustardlane.gateway.knowledge;

import java.util.List;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Passes the routes that operators publish from the log to the routing state.
 */
public final class RoutesListener implements TopicListener {

	private static final String SOURCE = "log";

	private final RoutingState routingState;

	private final DecisionLog log;

	/**
	 * Creates a listener.
	 * @param routingState state to update
	 * @param log log of decisions
	 */
	public RoutesListener(RoutingState routingState, DecisionLog log) {
		this.routingState = routingState;
		this.log = log;
	}

	@Override
	public void onSnapshot(List<KeyedRecord> records, LogPosition end) {
		onRecords(records);
	}

	@Override
	public void onRecords(List<KeyedRecord> records) {
		records.forEach((logRecord) -> this.routingState.applyRoutes(logRecord, SOURCE));
	}

	@Override
	public void onRestored(LogPosition before, LogPosition end) {
		this.log.warn(LogEvent.LOG_RESTORED, "topic", Topic.ROUTES, "before", before, "end", end);
	}

	@Override
	public void onUnavailable(String reason) {
		this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.ROUTES, "reason", reason);
	}

	@Override
	public void onAvailable() {
		this.log.write(LogEvent.DEPENDENCY_REGAINED, "dependency", "log", "topic", Topic.ROUTES);
	}

}
