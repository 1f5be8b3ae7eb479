package org.mustardlane.gateway.knowledge;

import java.util.List;

import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Hands what targets say of themselves to the knowledge.
 */
public final class TargetsListener implements TopicListener {

	private final Knowledge knowledge;

	private final DecisionLog log;

	/**
	 * Creates a listener.
	 * @param knowledge takes the records
	 * @param log is told when the topic is lost or regained
	 */
	public TargetsListener(Knowledge knowledge, DecisionLog log) {
		this.knowledge = knowledge;
		this.log = log;
	}

	@Override
	public void listed(List<KeyedRecord> records, long endOffset) {
		this.knowledge.listTargets(records, endOffset);
	}

	@Override
	public void changed(List<KeyedRecord> records) {
		this.knowledge.takeTargets(records);
	}

	@Override
	public void lost(String reason) {
		this.knowledge.setLogLost(true);
		this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.TARGETS, "reason", reason);
	}

	@Override
	public void regained() {
		this.knowledge.setLogLost(false);
		this.log.write(LogEvent.DEPENDENCY_REGAINED, "dependency", "log", "topic", Topic.TARGETS);
	}

}
