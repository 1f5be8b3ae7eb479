package org.mustardlane.gateway.report;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes one line for each decision that touches a call or changes what the daemon
 * believes.
 *
 * <p>
 * Each kind of line may be written so often a second; what is left out is counted and
 * said in the next second. The appender drops lines rather than wait for a reader.
 * Confined to the event loop of the daemon.
 */
public final class DecisionLog {

	private static final Logger logger = LogManager.getLogger("decision");

	private final RateLimit rateLimit;

	/**
	 * Creates a log.
	 * @param rateLimit bounds the lines
	 */
	public DecisionLog(RateLimit rateLimit) {
		this.rateLimit = rateLimit;
	}

	/**
	 * Writes a line, unless its kind was written too often in this second.
	 * @param event kind of the line
	 * @param fields names and values by turns
	 */
	public void write(LogEvent event, Object... fields) {
		write(Level.INFO, event, fields);
	}

	/**
	 * Writes a line about something that should not happen.
	 * @param event kind of the line
	 * @param fields names and values by turns
	 */
	public void warn(LogEvent event, Object... fields) {
		write(Level.WARN, event, fields);
	}

	private void write(Level level, LogEvent event, Object... fields) {
		if (!logger.isEnabled(level)) {
			return;
		}
		int leftOut = this.rateLimit.leftOutBefore(event);
		if (leftOut == RateLimit.REFUSED) {
			return;
		}
		StringMapMessage message = new StringMapMessage();
		message.with("event", event.text());
		for (int index = 0; index + 1 < fields.length; index += 2) {
			message.with(String.valueOf(fields[index]), String.valueOf(fields[index + 1]));
		}
		if (leftOut > 0) {
			message.with("leftOut", Integer.toString(leftOut));
		}
		logger.log(level, message);
	}

}
