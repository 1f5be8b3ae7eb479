package org.mustardlane.gateway.exchange;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

import org.mustardlane.gateway.front.CallerChannel;
import org.mustardlane.gateway.wire.ResponseHead;

/**
 * Forwards the response of a target to the caller: short responses once they are
 * complete, events as they arrive.
 *
 * <p>
 * A response that fails before anything was forwarded can be replaced by the response of
 * another target. Confined to the event loop of the daemon.
 */
final class ResponseSink {

	/**
	 * Responses above this size are forwarded before they are complete.
	 */
	private static final int MAX_BUFFERED_BYTES = 262_144;

	private final CallerChannel caller;

	private final EventStreamBuffer eventBuffer = new EventStreamBuffer();

	private Optional<ResponseHead> responseHead = Optional.empty();

	private ByteArrayOutputStream bufferedContent = new ByteArrayOutputStream(0);

	private boolean started;

	ResponseSink(CallerChannel caller) {
		this.caller = caller;
	}

	/**
	 * Starts the response of a target. Buffered content of an earlier response is
	 * discarded; a stream that was already started continues under its first head.
	 * @param response head of the response
	 */
	void startResponse(ResponseHead response) {
		if (!this.started) {
			this.responseHead = Optional.of(response);
			this.bufferedContent = new ByteArrayOutputStream(0);
		}
	}

	/**
	 * Adds a part of the response body.
	 * @param content the bytes, which are copied
	 * @return false if an event id does not increase, an event is too long, or a line
	 * cannot belong to an event, in which case no event of this part is forwarded
	 */
	boolean addContent(ByteBuf content) {
		if (isEventStream()) {
			return addEvents(content);
		}
		if (this.started) {
			send(content.copy());
		}
		else {
			bufferContent(content);
		}
		return true;
	}

	private boolean addEvents(ByteBuf content) {
		Optional<ByteBuf> completeEvents = this.eventBuffer.append(content);
		if (this.eventBuffer.isInvalid() || this.eventBuffer.isEventTooLong()) {
			completeEvents.ifPresent(ByteBuf::release);
			return false;
		}
		completeEvents.ifPresent(this::send);
		return true;
	}

	private void bufferContent(ByteBuf content) {
		this.bufferedContent.writeBytes(ByteBufUtil.getBytes(content));
		if (this.bufferedContent.size() > MAX_BUFFERED_BYTES) {
			send(Unpooled.wrappedBuffer(this.bufferedContent.toByteArray()));
			this.bufferedContent = new ByteArrayOutputStream(0);
		}
	}

	/**
	 * Returns whether the response is a stream of events.
	 * @return true for a successful response with the media type of event streams
	 */
	boolean isEventStream() {
		return this.responseHead.filter((currentHead) -> currentHead.isSuccess() && currentHead.eventStream())
			.isPresent();
	}

	private void send(ByteBuf bytes) {
		if (!this.started) {
			this.started = true;
			ResponseHead currentHead = this.responseHead.orElseThrow();
			this.caller.startResponse(currentHead.status(), currentHead.headers());
		}
		this.caller.sendContent(bytes);
	}

	/**
	 * Completes the response.
	 * @return false if the event stream ends within an event, in which case the response
	 * stays open
	 */
	boolean complete() {
		if (this.eventBuffer.hasPartialEvent()) {
			return false;
		}
		if (this.started) {
			this.caller.endResponse();
		}
		else {
			ResponseHead currentHead = this.responseHead.orElseThrow();
			this.caller.respond(currentHead.status(), currentHead.headers(), this.bufferedContent.toByteArray());
		}
		return true;
	}

	/**
	 * Discards an incomplete event before another target resumes the stream.
	 */
	void discardPartialEvent() {
		this.eventBuffer.discardPartialEvent();
	}

	/**
	 * Returns whether a part of the response was forwarded to the caller.
	 * @return true once a part was forwarded
	 */
	boolean isStarted() {
		return this.started;
	}

	/**
	 * Returns whether another target can provide the rest of the response.
	 * @return true while nothing was forwarded, or if the last forwarded event of a
	 * stream has an id
	 */
	boolean canResume() {
		return !this.started || (isEventStream() && lastEventId().isPresent());
	}

	/**
	 * Returns the number of events that were forwarded.
	 * @return the number of events, 0 for a response that is not an event stream
	 */
	int eventCount() {
		return this.eventBuffer.eventCount();
	}

	/**
	 * Returns the id of the last forwarded event.
	 * @return the id, or empty if no event with an id was forwarded
	 */
	Optional<String> lastEventId() {
		return this.eventBuffer.lastEventId();
	}

}
