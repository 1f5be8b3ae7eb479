package org.mustardlane.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

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

	private ByteBuf pending = Unpooled.EMPTY_BUFFER;

	private Optional<String> lastEventId = Optional.empty();

	private boolean outOfOrder;

	/**
	 * Adds bytes of the stream and returns the events that they complete.
	 * @param content the bytes, which are copied
	 * @return the completed events, or empty if there are none; the caller must release
	 * the buffer
	 */
	Optional<ByteBuf> append(ByteBuf content) {
		ByteBuf combined = combineWithPending(content);
		int end = endOfCompleteEvents(combined);
		if (end == 0) {
			this.pending = combined;
			return Optional.empty();
		}
		ByteBuf completeEvents = combined.readRetainedSlice(end);
		Optional<String> previousEventId = this.lastEventId;
		readEventIds(completeEvents);
		if (this.outOfOrder) {
			this.lastEventId = previousEventId;
		}
		this.pending = combined.isReadable() ? Unpooled.copiedBuffer(combined) : Unpooled.EMPTY_BUFFER;
		combined.release();
		return Optional.of(completeEvents);
	}

	private ByteBuf combineWithPending(ByteBuf content) {
		if (!this.pending.isReadable()) {
			return Unpooled.copiedBuffer(content);
		}
		ByteBuf combined = Unpooled.copiedBuffer(this.pending, content);
		this.pending.release();
		return combined;
	}

	// An event ends with a blank line.
	private static int endOfCompleteEvents(ByteBuf bytes) {
		int end = 0;
		boolean isLineEmpty = true;
		for (int index = 0; index < bytes.readableBytes(); index++) {
			byte value = bytes.getByte(bytes.readerIndex() + index);
			if (value == '\n') {
				if (isLineEmpty) {
					end = index + 1;
				}
				isLineEmpty = true;
			}
			else if (value != '\r') {
				isLineEmpty = false;
			}
		}
		return end;
	}

	private void readEventIds(ByteBuf events) {
		int lineStart = 0;
		int length = events.readableBytes();
		for (int index = 0; index < length; index++) {
			if (events.getByte(events.readerIndex() + index) == '\n') {
				parseIdField(events, lineStart, index);
				lineStart = index + 1;
			}
		}
	}

	private void parseIdField(ByteBuf events, int start, int end) {
		if (end - start < ID_FIELD.length) {
			return;
		}
		for (int index = 0; index < ID_FIELD.length; index++) {
			if (events.getByte(events.readerIndex() + start + index) != ID_FIELD[index]) {
				return;
			}
		}
		String value = events.toString(events.readerIndex() + start + ID_FIELD.length, end - start - ID_FIELD.length,
				StandardCharsets.UTF_8);
		updateLastEventId(value.strip());
	}

	private void updateLastEventId(String id) {
		if (this.lastEventId.filter((lastId) -> !isIncreasing(lastId, id)).isPresent()) {
			this.outOfOrder = true;
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
	 * Returns whether an event id did not increase.
	 * @return true from the first such id until {@link #discardPartialEvent} is called
	 */
	boolean isOutOfOrder() {
		return this.outOfOrder;
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
		return this.pending.isReadable();
	}

	/**
	 * Discards an incomplete event and resets the out-of-order state.
	 */
	void discardPartialEvent() {
		this.outOfOrder = false;
		this.pending.release();
		this.pending = Unpooled.EMPTY_BUFFER;
	}

}
