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
	static final int MAX_BUFFERED_LINES = 256;

	private final LogRateLimiter rateLimiter;

	private final LongSupplier nowMillis;

	private final Queue<BufferedLine> bufferedLines = new ArrayDeque<>();

	private int droppedLineCount;

	private Optional<Logger> logger = Optional.empty();

	/**
	 * Creates a log that holds its lines until it is opened.
	 * @param rateLimiter bounds the lines
	 * @param nowMillis the time
	 */
	public DecisionLog(LogRateLimiter rateLimiter, LongSupplier nowMillis) {
		this.rateLimiter = rateLimiter;
		this.nowMillis = nowMillis;
	}

	/**
	 * Writes the lines held so far, each with the time for which it was held, and from
	 * now on each line at once.
	 * @param delegate where lines go
	 */
	public void open(Logger delegate) {
		this.logger = Optional.of(delegate);
		long currentMillis = this.nowMillis.getAsLong();
		this.bufferedLines.forEach((line) -> delegate.log(line.level(),
				line.message().with("heldMillis", Long.toString(currentMillis - line.bufferedAtMillis()))));
		this.bufferedLines.clear();
		if (this.droppedLineCount > 0) {
			warn(LogEvent.LINES_LOST, "lines", this.droppedLineCount);
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
		if (this.logger.filter((delegate) -> !delegate.isEnabled(level)).isPresent()) {
			return;
		}
		int suppressedCount = this.rateLimiter.tryAcquire(event);
		if (suppressedCount == LogRateLimiter.SUPPRESSED) {
			return;
		}
		StringMapMessage message = new StringMapMessage();
		message.with("event", event.eventName());
		for (int index = 0; index + 1 < fields.length; index += 2) {
			message.with(String.valueOf(fields[index]), String.valueOf(fields[index + 1]));
		}
		if (suppressedCount > 0) {
			message.with("leftOut", Integer.toString(suppressedCount));
		}
		this.logger.ifPresentOrElse((delegate) -> delegate.log(level, message), () -> buffer(level, message));
	}

	private void buffer(Level level, StringMapMessage message) {
		if (this.bufferedLines.size() >= MAX_BUFFERED_LINES) {
			this.droppedLineCount++;
			return;
		}
		this.bufferedLines.add(new BufferedLine(level, message, this.nowMillis.getAsLong()));
	}

	private record BufferedLine(Level level, StringMapMessage message, long bufferedAtMillis) {

	}

}
