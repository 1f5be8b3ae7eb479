package org.mustardlane.gateway.exchange;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

import org.mustardlane.gateway.front.CallerChannel;
import org.mustardlane.gateway.wire.AnswerHead;

/**
 * Passes the answer of a target on: short ones once they are whole, events as they
 * arrive.
 *
 * <p>
 * An answer that breaks off before anything was passed on can be replaced. Confined to
 * the event loop of the daemon.
 */
final class ResponseSink {

	/**
	 * Answers above this are passed on before they are whole.
	 */
	private static final int MAX_BUFFERED_BYTES = 262_144;

	private final CallerChannel caller;

	private final EventStreamBuffer eventBuffer = new EventStreamBuffer();

	private Optional<AnswerHead> responseHead = Optional.empty();

	private ByteArrayOutputStream buffered = new ByteArrayOutputStream(0);

	private boolean started;

	ResponseSink(CallerChannel caller) {
		this.caller = caller;
	}

	/**
	 * Takes the head of an answer. What was held of an earlier one is dropped; events of
	 * an earlier one are continued under their own head.
	 * @param response the head
	 */
	void startResponse(AnswerHead response) {
		if (!this.started) {
			this.responseHead = Optional.of(response);
			this.buffered = new ByteArrayOutputStream(0);
		}
	}

	/**
	 * Takes a part of the body.
	 * @param content the bytes, not kept
	 * @return false where it holds an event that does not follow those passed on; nothing
	 * of the part is passed on then
	 */
	boolean addContent(ByteBuf content) {
		if (isEventStream()) {
			return addEvents(content);
		}
		if (this.started) {
			send(content.copy());
		}
		else {
			buffer(content);
		}
		return true;
	}

	private boolean addEvents(ByteBuf content) {
		Optional<ByteBuf> wholeEvents = this.eventBuffer.append(content);
		if (this.eventBuffer.isOutOfOrder()) {
			wholeEvents.ifPresent(ByteBuf::release);
			return false;
		}
		wholeEvents.ifPresent(this::send);
		return true;
	}

	private void buffer(ByteBuf content) {
		this.buffered.writeBytes(ByteBufUtil.getBytes(content));
		if (this.buffered.size() > MAX_BUFFERED_BYTES) {
			send(Unpooled.wrappedBuffer(this.buffered.toByteArray()));
			this.buffered = new ByteArrayOutputStream(0);
		}
	}

	private boolean isEventStream() {
		return this.responseHead.filter((currentHead) -> currentHead.isSuccess() && currentHead.eventStream())
			.isPresent();
	}

	private void send(ByteBuf bytes) {
		if (!this.started) {
			this.started = true;
			AnswerHead currentHead = this.responseHead.orElseThrow();
			this.caller.startResponse(currentHead.status(), currentHead.headers());
		}
		this.caller.sendContent(bytes);
	}

	/**
	 * Ends the answer as whole.
	 * @return whether it was whole as far as its events tell
	 */
	boolean complete() {
		if (this.eventBuffer.hasPartialEvent()) {
			return false;
		}
		if (this.started) {
			this.caller.endResponse();
		}
		else {
			AnswerHead currentHead = this.responseHead.orElseThrow();
			this.caller.respond(currentHead.status(), currentHead.headers(), this.buffered.toByteArray());
		}
		return true;
	}

	/**
	 * Forgets what can not be passed on, before another target goes on.
	 */
	void discardPartialEvent() {
		this.eventBuffer.discardPartialEvent();
	}

	/**
	 * Tells whether the caller has a part of the answer.
	 * @return true once something was passed on
	 */
	boolean isStarted() {
		return this.started;
	}

	/**
	 * Tells whether another target can go on where this answer broke off.
	 * @return true while nothing was passed on, or where the last event has an id
	 */
	boolean canResume() {
		return !this.started || (isEventStream() && lastEventId().isPresent());
	}

	/**
	 * Returns the id of the last event that was passed on.
	 * @return the id, or empty where none was
	 */
	Optional<String> lastEventId() {
		return this.eventBuffer.lastEventId();
	}

}
