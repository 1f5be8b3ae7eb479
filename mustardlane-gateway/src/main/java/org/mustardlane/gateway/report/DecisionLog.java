package org.mustardlane.gateway.report;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.LongSupplier;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes one line for each decision that touches a call or changes what the daemon
 * believes.
 *
 * <p>
 * Each kind of line may be written so often a second; what is left out is counted and
 * said in the next second. The appender drops lines rather than wait for a reader. Lines
 * of the time before the logging library is ready are held, so that its start does not
 * keep callers waiting. Confined to the event loop of the daemon.
 */
public final class DecisionLog {

	/**
	 * Bounds what is held where the library is not ready for long.
	 */
	static final int MOST_HELD_LINES = 256;

	private final RateLimit rateLimit;

	private final LongSupplier nowMillis;

	private final Queue<HeldLine> held = new ArrayDeque<>();

	private int heldLeftOut;

	private Optional<Logger> logger = Optional.empty();

	/**
	 * Creates a log that holds its lines until it is opened.
	 * @param rateLimit bounds the lines
	 * @param nowMillis the time
	 */
	public DecisionLog(RateLimit rateLimit, LongSupplier nowMillis) {
		this.rateLimit = rateLimit;
		this.nowMillis = nowMillis;
	}

	/**
	 * Writes the lines held so far, each with the time for which it was held, and from
	 * now on each line at once.
	 * @param ready where lines go
	 */
	public void open(Logger ready) {
		this.logger = Optional.of(ready);
		long now = this.nowMillis.getAsLong();
		this.held.forEach((line) -> ready.log(line.level(),
				line.message().with("heldMillis", Long.toString(now - line.writtenAtMillis()))));
		this.held.clear();
		if (this.heldLeftOut > 0) {
			warn(LogEvent.LINES_LOST, "lines", this.heldLeftOut);
		}
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
		if (this.logger.filter((ready) -> !ready.isEnabled(level)).isPresent()) {
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
		this.logger.ifPresentOrElse((ready) -> ready.log(level, message), () -> hold(level, message));
	}

	private void hold(Level level, StringMapMessage message) {
		if (this.held.size() >= MOST_HELD_LINES) {
			this.heldLeftOut++;
			return;
		}
		this.held.add(new HeldLine(level, message, this.nowMillis.getAsLong()));
	}

	private record HeldLine(Level level, StringMapMessage message, long writtenAtMillis) {

	}

}
