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
final class AnswerSink {

	/**
	 * Answers above this are passed on before they are whole.
	 */
	private static final int HELD_BYTES = 262_144;

	private final CallerChannel caller;

	private final EventBuffer events = new EventBuffer();

	private Optional<AnswerHead> head = Optional.empty();

	private ByteArrayOutputStream held = new ByteArrayOutputStream(0);

	private boolean begun;

	AnswerSink(CallerChannel caller) {
		this.caller = caller;
	}

	/**
	 * Takes the head of an answer. What was held of an earlier one is dropped; events of
	 * an earlier one are continued under their own head.
	 * @param next the head
	 */
	void head(AnswerHead next) {
		if (!this.begun) {
			this.head = Optional.of(next);
			this.held = new ByteArrayOutputStream(0);
		}
	}

	/**
	 * Takes a part of the body.
	 * @param part the bytes, not kept
	 * @return false where it holds an event that does not follow those passed on; nothing
	 * of the part is passed on then
	 */
	boolean part(ByteBuf part) {
		if (isEventStream()) {
			return events(part);
		}
		if (this.begun) {
			pass(part.copy());
		}
		else {
			hold(part);
		}
		return true;
	}

	private boolean events(ByteBuf part) {
		Optional<ByteBuf> whole = this.events.append(part);
		if (this.events.isOutOfOrder()) {
			whole.ifPresent(ByteBuf::release);
			return false;
		}
		whole.ifPresent(this::pass);
		return true;
	}

	private void hold(ByteBuf part) {
		this.held.writeBytes(ByteBufUtil.getBytes(part));
		if (this.held.size() > HELD_BYTES) {
			pass(Unpooled.wrappedBuffer(this.held.toByteArray()));
			this.held = new ByteArrayOutputStream(0);
		}
	}

	private boolean isEventStream() {
		return this.head.filter((known) -> known.isSuccess() && known.eventStream()).isPresent();
	}

	private void pass(ByteBuf bytes) {
		if (!this.begun) {
			this.begun = true;
			AnswerHead known = this.head.orElseThrow();
			this.caller.begin(known.status(), known.headers());
		}
		this.caller.part(bytes);
	}

	/**
	 * Ends the answer as whole.
	 * @return whether it was whole as far as its events tell
	 */
	boolean complete() {
		if (this.events.hasPartialEvent()) {
			return false;
		}
		if (this.begun) {
			this.caller.end();
		}
		else {
			AnswerHead known = this.head.orElseThrow();
			this.caller.answer(known.status(), known.headers(), this.held.toByteArray());
		}
		return true;
	}

	/**
	 * Forgets what can not be passed on, before another target goes on.
	 */
	void dropPartial() {
		this.events.dropPartialEvent();
	}

	/**
	 * Tells whether the caller has a part of the answer.
	 * @return true once something was passed on
	 */
	boolean isBegun() {
		return this.begun;
	}

	/**
	 * Tells whether another target can go on where this answer broke off.
	 * @return true while nothing was passed on, or where the last event has an id
	 */
	boolean canContinue() {
		return !this.begun || (isEventStream() && lastEventId().isPresent());
	}

	/**
	 * Returns the id of the last event that was passed on.
	 * @return the id, or empty where none was
	 */
	Optional<String> lastEventId() {
		return this.events.lastEventId();
	}

}
