package org.mustardlane.gateway.report;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.LongSupplier;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes one line for each decision about a call and for each change of the routes,
 * targets and peers known to the daemon.
 *
 * <p>
 * The lines of each event are rate limited; suppressed lines are counted, and the count
 * is written with the next line of the event. The appender drops lines instead of
 * blocking on a slow reader. Lines written before the logging library is ready are
 * buffered, so that its start does not delay callers. Confined to the event loop of the
 * daemon.
 */
public final class DecisionLog {

	/**
	 * Limits the memory in use if the logging library takes long to start.
	 */
	static final int MAX_BUFFERED_LINES = 256;

	private final LogRateLimiter rateLimiter;

	private final LongSupplier nowMillis;

	private final Queue<BufferedLine> bufferedLines = new ArrayDeque<>();

	private int droppedLineCount;

	private Optional<Logger> logger = Optional.empty();

	/**
	 * Creates a log that buffers its lines until {@link #open} is called.
	 * @param rateLimiter limits the rate of lines
	 * @param nowMillis clock in milliseconds
	 */
	public DecisionLog(LogRateLimiter rateLimiter, LongSupplier nowMillis) {
		this.rateLimiter = rateLimiter;
		this.nowMillis = nowMillis;
	}

	/**
	 * Writes all buffered lines, each with the time for which it was buffered; from then
	 * on lines are written at once.
	 * @param delegate logger that writes the lines
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
	 * Writes a line at level INFO, unless the rate limit of its event is exceeded.
	 * @param event event of the line
	 * @param fields alternating names and values
	 */
	public void write(LogEvent event, Object... fields) {
		write(Level.INFO, event, fields);
	}

	/**
	 * Writes a line at level WARN, unless the rate limit of its event is exceeded.
	 * @param event event of the line
	 * @param fields alternating names and values
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
