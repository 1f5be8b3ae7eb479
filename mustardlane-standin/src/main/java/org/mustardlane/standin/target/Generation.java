package org.mustardlane.standin.target;

import java.util.Map;
import java.util.Optional;

import org.mustardlane.standin.http.Exchange;

/**
 * One answer that an engine produces, and the reader that it goes to.
 */
final class Generation {

	private final String id;

	private final AnswerText text;

	private final JournalEntry entry;

	private final TargetFaults met;

	private final int wholeBytes;

	private int readyBytes;

	private boolean ended;

	private Optional<Exchange> reader = Optional.empty();

	private int sentBytes;

	private long abandonedAtMillis;

	private boolean broken;

	Generation(String id, AnswerText text, int tokens, int continueOffset, JournalEntry entry, TargetFaults met) {
		this.id = id;
		this.text = text;
		this.wholeBytes = AnswerText.wholeBytes(tokens);
		this.readyBytes = Math.min(continueOffset, this.wholeBytes);
		this.entry = entry;
		this.met = met;
	}

	String id() {
		return this.id;
	}

	boolean isEnded() {
		return this.ended;
	}

	boolean isReady() {
		return this.readyBytes >= this.wholeBytes;
	}

	boolean isStalled() {
		return this.met.stallAfterFirstToken() && this.readyBytes >= AnswerText.SEED_BYTES + AnswerText.TOKEN_BYTES;
	}

	boolean isAbandonedSince(long millis) {
		return this.reader.isEmpty() && this.abandonedAtMillis < millis;
	}

	boolean isBackedUp() {
		return this.reader.filter((exchange) -> !exchange.isWritable()).isPresent();
	}

	/**
	 * Sends the answer from an offset on to a reader.
	 * @param exchange the reader
	 * @param offset the first byte that it wants
	 * @param requestId the request id that the answer echoes
	 */
	void attach(Exchange exchange, int offset, String requestId) {
		this.reader.filter(Exchange::isOpen).ifPresent(Exchange::reset);
		this.reader = Optional.of(exchange);
		this.sentBytes = offset;
		exchange.startStream(Map.of(TargetHeaders.REQUEST_ID, requestId, TargetHeaders.GENERATION_ID, this.id,
				"Content-Type", "text/plain; charset=utf-8", "Trailer", TargetHeaders.ANSWER_BYTES));
		exchange.onClose(() -> detach(exchange));
		deliver();
	}

	/**
	 * Adds the next token.
	 */
	void addToken() {
		if (this.entry.isBeforeFirstToken()) {
			this.entry.firstToken();
		}
		int tokens = Math.max(0, (this.readyBytes - AnswerText.SEED_BYTES) / AnswerText.TOKEN_BYTES);
		this.readyBytes = Math.min(AnswerText.wholeBytes(tokens + 1), this.wholeBytes);
		deliver();
	}

	/**
	 * Ends the generation, whatever is missing.
	 * @param how the word for the journal
	 */
	void end(String how) {
		if (!this.ended) {
			this.ended = true;
			this.entry.end(how);
		}
	}

	/**
	 * Resets the connection to the reader.
	 */
	void drop() {
		this.reader.ifPresent(Exchange::reset);
	}

	private void deliver() {
		Optional<Exchange> current = this.reader;
		if (current.isEmpty()) {
			return;
		}
		Exchange exchange = current.get();
		int limit = this.met.shortAnswer() ? this.wholeBytes - 1 : this.wholeBytes;
		int breakAt = isToBreak() ? this.met.breakAfterBytes() : Integer.MAX_VALUE;
		int until = Math.min(Math.min(this.readyBytes, limit), breakAt);
		if (until > this.sentBytes) {
			exchange.write(this.text.range(this.sentBytes, until));
			this.sentBytes = until;
		}
		if (this.readyBytes >= breakAt) {
			this.broken = true;
			exchange.close();
		}
		else if (isReady()) {
			finish(exchange);
		}
	}

	private boolean isToBreak() {
		return this.met.breakAfterBytes() >= 0 && !this.broken;
	}

	private void finish(Exchange exchange) {
		this.reader = Optional.empty();
		this.abandonedAtMillis = System.currentTimeMillis();
		exchange.finish(Map.of(TargetHeaders.ANSWER_BYTES, Integer.toString(this.wholeBytes)));
	}

	private void detach(Exchange exchange) {
		if (this.reader.filter((current) -> current == exchange).isPresent()) {
			this.reader = Optional.empty();
			this.abandonedAtMillis = System.currentTimeMillis();
		}
	}

}
