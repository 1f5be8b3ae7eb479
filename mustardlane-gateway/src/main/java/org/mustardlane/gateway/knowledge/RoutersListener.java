package org.mustardlane.gateway.knowledge;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BiConsumer;

import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Hands the addresses of other routers on.
 */
public final class RoutersListener implements TopicListener {

	private final BiConsumer<String, String> found;

	private final DecisionLog log;

	/**
	 * Creates a listener.
	 * @param found takes the name and the address of each router
	 * @param log is told when the topic is lost or regained
	 */
	public RoutersListener(BiConsumer<String, String> found, DecisionLog log) {
		this.found = found;
		this.log = log;
	}

	@Override
	public void listed(List<KeyedRecord> records, long endOffset) {
		changed(records);
	}

	@Override
	public void changed(List<KeyedRecord> records) {
		for (KeyedRecord update : records) {
			update.body()
				.ifPresent((body) -> this.found.accept(update.key(), new String(body, StandardCharsets.UTF_8)));
		}
	}

	@Override
	public void lost(String reason) {
		this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.ROUTERS, "reason", reason);
	}

	@Override
	public void regained() {
		this.log.write(LogEvent.DEPENDENCY_REGAINED, "dependency", "log", "topic", Topic.ROUTERS);
	}

}
