package org.mustardlane.gateway.knowledge;

import java.util.ArrayList;
import java.util.List;

import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Lets all followers know that connections to the platform's log have gone silent.
 *
 * <p>
 * Connections that go silent do so together, and the follower that polls most often
 * notices it first. Confined to the event loop of the daemon.
 */
public final class LogConnections {

	private final DecisionLog log;

	private final List<Runnable> silenceListeners = new ArrayList<>();

	/**
	 * Creates an instance without listeners.
	 * @param log log of decisions
	 */
	public LogConnections(DecisionLog log) {
		this.log = log;
	}

	/**
	 * Adds a listener.
	 * @param listener called each time silent connections were noticed
	 */
	void addSilenceListener(Runnable listener) {
		this.silenceListeners.add(listener);
	}

	/**
	 * Records that a read was overdue although the log answers over new connections.
	 * @param topic the topic that was read
	 */
	void reportSilence(Topic topic) {
		this.log.warn(LogEvent.CONNECTIONS_SILENT, "dependency", "log", "topic", topic);
		this.silenceListeners.forEach(Runnable::run);
	}

}
