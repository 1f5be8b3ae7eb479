package org.mustardlane.core.timeline;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;

import org.mustardlane.core.model.timeline.TimelineEvent;

/**
 * Formats a time line as text, with one event per line.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
public final class TimelineText {

	private static final DateTimeFormatter TIME_FORMAT = DateTimeFormatter.ofPattern("HH:mm:ss.SSS")
		.withZone(ZoneOffset.UTC);

	private TimelineText() {
	}

	/**
	 * Formats a time line.
	 * @param events the events, in causal order
	 * @return the text, with a line break after each event
	 */
	public static String format(List<TimelineEvent> events) {
		int vmWidth = events.stream().mapToInt((event) -> event.vm().length()).max().orElse(1);
		int domainWidth = events.stream().mapToInt((event) -> event.domain().length()).max().orElse(1);
		StringBuilder text = new StringBuilder();
		for (TimelineEvent event : events) {
			text.append(formatTime(event)).append("  ").append(padRight(event.vm(), vmWidth)).append("  ");
			text.append(padRight(event.domain(), domainWidth))
				.append("  ")
				.append(replaceControlCharacters(event.kind()))
				.append("  ");
			text.append(replaceControlCharacters(event.subject()))
				.append("  ")
				.append(replaceControlCharacters(event.detail()));
			text.append('\n');
		}
		return text.toString();
	}

	/**
	 * Formats the timestamp of an event: the time of day in UTC and the counter of the
	 * hybrid clock in hexadecimal.
	 * @param event the event
	 * @return the formatted timestamp, such as 09:30:00.125+0001
	 */
	static String formatTime(TimelineEvent event) {
		Instant instant = Instant.ofEpochMilli(HybridClock.millisOf(event.hybridTime()));
		return TIME_FORMAT.format(instant) + "+%04x".formatted(HybridClock.counterOf(event.hybridTime()));
	}

	private static String padRight(String text, int width) {
		return replaceControlCharacters(text) + " ".repeat(Math.max(0, width - text.length()));
	}

	private static String replaceControlCharacters(String text) {
		return text.replaceAll("\\p{Cntrl}", " ");
	}

}
