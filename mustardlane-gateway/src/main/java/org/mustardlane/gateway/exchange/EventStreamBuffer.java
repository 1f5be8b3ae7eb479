package org.mustardlane.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits the body of an event stream into complete events.
 *
 * <p>
 * Not thread-safe.
 */
final class EventStreamBuffer {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final Set<String> FIELDS_WITHOUT_VALUE = Set.of("data", "event", "id", "retry");

	/**
	 * Limits the memory that a target occupies if it never ends an event.
	 */
	static final int MAX_EVENT_BYTES = 262_144;

	private byte[] pending = {};

	private Optional<String> lastEventId = Optional.empty();

	private boolean invalid;

	private int eventCount;

	private boolean fieldRead;

	/**
	 * Adds bytes of the stream and returns the events that they complete.
	 * @param content the bytes, which are copied
	 * @return the completed events, or empty if there are none; the caller must release
	 * the buffer
	 */
	Optional<ByteBuf> append(ByteBuf content) {
		byte[] combined = combineWithPending(content);
		int end = endOfCompleteEvents(combined);
		this.pending = (end == 0) ? combined : Arrays.copyOfRange(combined, end, combined.length);
		if (end == 0) {
			return Optional.empty();
		}
		Optional<String> previousEventId = this.lastEventId;
		readLines(combined, end);
		if (this.invalid) {
			this.lastEventId = previousEventId;
		}
		return Optional.of(Unpooled.wrappedBuffer(combined, 0, end));
	}

	private byte[] combineWithPending(ByteBuf content) {
		int pendingLength = this.pending.length;
		byte[] combined = Arrays.copyOf(this.pending, pendingLength + content.readableBytes());
		content.getBytes(content.readerIndex(), combined, pendingLength, content.readableBytes());
		return combined;
	}

	// An event ends with a blank line.
	private static int endOfCompleteEvents(byte[] bytes) {
		for (int index = bytes.length - 1; index > 0; index--) {
			if (bytes[index] == '\n' && isBlankLineEnd(bytes, index)) {
				return index + 1;
			}
		}
		return (bytes.length > 0 && bytes[0] == '\n') ? 1 : 0;
	}

	private static boolean isBlankLineEnd(byte[] bytes, int lineFeed) {
		int previous = lineFeed - 1;
		while (previous >= 0 && bytes[previous] == '\r') {
			previous--;
		}
		return previous < 0 || bytes[previous] == '\n';
	}

	private void readLines(byte[] events, int length) {
		int lineStart = 0;
		for (int index = 0; index < length; index++) {
			if (events[index] == '\n') {
				this.invalid |= !isLineOfAnEvent(events, lineStart, index);
				parseIdField(events, lineStart, index);
				countEvent(events, lineStart, index);
				lineStart = index + 1;
			}
		}
	}

	// The text of an error, or the head of another response, is no line of an event.
	private static boolean isLineOfAnEvent(byte[] events, int start, int end) {
		int lineEnd = (end > start && events[end - 1] == '\r') ? end - 1 : end;
		int nameEnd = start;
		while (nameEnd < lineEnd && isNameCharacter(events[nameEnd])) {
			nameEnd++;
		}
		return (nameEnd == lineEnd) ? isFieldWithoutValue(events, start, lineEnd) : events[nameEnd] == ':';
	}

	private static boolean isNameCharacter(byte character) {
		return Character.isLetterOrDigit(character) || character == '-' || character == '_';
	}

	private static boolean isFieldWithoutValue(byte[] events, int start, int end) {
		return start == end
				|| FIELDS_WITHOUT_VALUE.contains(new String(events, start, end - start, StandardCharsets.US_ASCII));
	}

	// A blank line ends an event if fields, and not only comments, precede it.
	private void countEvent(byte[] events, int start, int end) {
		boolean isBlank = start == end || events[start] == '\r';
		if (!isBlank) {
			this.fieldRead |= events[start] != ':';
			return;
		}
		if (this.fieldRead) {
			this.eventCount++;
		}
		this.fieldRead = false;
	}

	private void parseIdField(byte[] events, int start, int end) {
		int valueStart = start + ID_FIELD.length;
		if (valueStart > end || !Arrays.equals(events, start, valueStart, ID_FIELD, 0, ID_FIELD.length)) {
			return;
		}
		updateLastEventId(new String(events, valueStart, end - valueStart, StandardCharsets.UTF_8).strip());
	}

	private void updateLastEventId(String id) {
		if (this.lastEventId.filter((lastId) -> !isIncreasing(lastId, id)).isPresent()) {
			this.invalid = true;
			return;
		}
		this.lastEventId = Optional.of(id);
	}

	// The order of ids that are not numbers is unknown.
	private static boolean isIncreasing(String lastId, String nextId) {
		try {
			return Long.parseLong(nextId) > Long.parseLong(lastId);
		}
		catch (NumberFormatException ex) {
			return true;
		}
	}

	/**
	 * Returns whether an event id did not increase or a line cannot belong to an event.
	 * @return true from the first such line until {@link #discardPartialEvent} is called
	 */
	boolean isInvalid() {
		return this.invalid;
	}

	/**
	 * Returns whether the incomplete event exceeds the size limit of an event.
	 * @return true if the stream must be given up
	 */
	boolean isEventTooLong() {
		return this.pending.length > MAX_EVENT_BYTES;
	}

	/**
	 * Returns the number of complete events, not counting comments.
	 * @return the number of events
	 */
	int eventCount() {
		return this.eventCount;
	}

	/**
	 * Returns the id of the newest complete event.
	 * @return the id, or empty if no event had an id
	 */
	Optional<String> lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns whether the stream has stopped within an event.
	 * @return true if the last event is incomplete
	 */
	boolean hasPartialEvent() {
		return this.pending.length > 0;
	}

	/**
	 * Discards an incomplete event and forgets invalid lines.
	 */
	void discardPartialEvent() {
		this.invalid = false;
		this.pending = new byte[0];
	}

}
