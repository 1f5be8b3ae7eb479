package org.mustardlane.gateway.knowledge;

import java.util.List;

import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Hands what operators publish to the knowledge.
 */
public final class RoutesListener implements TopicListener {

	private static final String SOURCE = "log";

	private final Knowledge knowledge;

	private final DecisionLog log;

	/**
	 * Creates a listener.
	 * @param knowledge takes the records
	 * @param log is told when the topic is lost or regained
	 */
	public RoutesListener(Knowledge knowledge, DecisionLog log) {
		this.knowledge = knowledge;
		this.log = log;
	}

	@Override
	public void listed(List<KeyedRecord> records, long endOffset) {
		changed(records);
	}

	@Override
	public void changed(List<KeyedRecord> records) {
		records.forEach((update) -> this.knowledge.takeRoutes(update, SOURCE));
	}

	@Override
	public void lost(String reason) {
		this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.ROUTES, "reason", reason);
	}

	@Override
	public void regained() {
		this.log.write(LogEvent.DEPENDENCY_REGAINED, "dependency", "log", "topic", Topic.ROUTES);
	}

}
