package org.mustardlane.standin.target;

import java.util.Map;
import java.util.Optional;

import org.mustardlane.standin.http.Exchange;

/**
 * Text that an engine generates for one request, and the connection that currently reads
 * it. A generation without a connection continues and can be attached to again.
 */
final class Generation {

	private final String id;

	private final ResponseText text;

	private final JournalEntry entry;

	private final TargetFaults faults;

	private final int totalBytes;

	private int generatedBytes;

	private boolean ended;

	private Optional<Exchange> reader = Optional.empty();

	private int sentEndOffset;

	private long abandonedAtMillis;

	private boolean breakDone;

	Generation(String id, ResponseText text, int tokenCount, int continueOffset, JournalEntry entry,
			TargetFaults faults) {
		this.id = id;
		this.text = text;
		this.totalBytes = ResponseText.lengthInBytes(tokenCount);
		this.generatedBytes = Math.min(continueOffset, this.totalBytes);
		this.entry = entry;
		this.faults = faults;
	}

	String id() {
		return this.id;
	}

	boolean isEnded() {
		return this.ended;
	}

	boolean isComplete() {
		return this.generatedBytes >= this.totalBytes;
	}

	boolean isStalled() {
		return this.faults.stallAfterFirstToken()
				&& this.generatedBytes >= ResponseText.SEED_BYTES + ResponseText.TOKEN_BYTES;
	}

	boolean isAbandonedBefore(long cutoffMillis) {
		return this.reader.isEmpty() && this.abandonedAtMillis < cutoffMillis;
	}

	boolean isBackpressured() {
		return this.reader.filter((exchange) -> !exchange.isWritable()).isPresent();
	}

	/**
	 * Starts a chunked response that delivers the text from an offset on. The connection
	 * that read the text before is reset.
	 * @param exchange the request that reads the text
	 * @param offset offset of the first byte to send
	 * @param requestId request id that the response echoes
	 */
	void attach(Exchange exchange, int offset, String requestId) {
		this.reader.filter(Exchange::isOpen).ifPresent(Exchange::reset);
		this.reader = Optional.of(exchange);
		this.sentEndOffset = offset;
		exchange.startChunkedResponse(Map.of(TargetHeaders.REQUEST_ID, requestId, TargetHeaders.GENERATION_ID, this.id,
				"Content-Type", "text/plain; charset=utf-8", "Trailer", TargetHeaders.RESPONSE_BYTES));
		exchange.onClose(() -> detach(exchange));
		sendPendingBytes();
	}

	/**
	 * Generates the next token and sends it to the reader, if there is one.
	 */
	void addToken() {
		if (this.entry.isFirstTokenPending()) {
			this.entry.recordFirstToken();
		}
		int tokenCount = Math.max(0, (this.generatedBytes - ResponseText.SEED_BYTES) / ResponseText.TOKEN_BYTES);
		this.generatedBytes = Math.min(ResponseText.lengthInBytes(tokenCount + 1), this.totalBytes);
		sendPendingBytes();
	}

	/**
	 * Ends the generation, complete or not.
	 * @param result the result for the journal
	 */
	void end(String result) {
		if (!this.ended) {
			this.ended = true;
			this.entry.recordEnd(result);
		}
	}

	/**
	 * Resets the connection of the reader, if there is one.
	 */
	void resetConnection() {
		this.reader.ifPresent(Exchange::reset);
	}

	private void sendPendingBytes() {
		Optional<Exchange> currentReader = this.reader;
		if (currentReader.isEmpty()) {
			return;
		}
		Exchange exchange = currentReader.get();
		int maxOffset = this.faults.shortAnswer() ? this.totalBytes - 1 : this.totalBytes;
		int breakOffset = isBreakPending() ? this.faults.breakAfterBytes() : Integer.MAX_VALUE;
		int endOffset = Math.min(Math.min(this.generatedBytes, maxOffset), breakOffset);
		if (endOffset > this.sentEndOffset) {
			exchange.writeChunk(this.text.byteRange(this.sentEndOffset, endOffset));
			this.sentEndOffset = endOffset;
		}
		if (this.generatedBytes >= breakOffset) {
			this.breakDone = true;
			exchange.close();
		}
		else if (isComplete()) {
			finishResponse(exchange);
		}
	}

	private boolean isBreakPending() {
		return this.faults.breakAfterBytes() >= 0 && !this.breakDone;
	}

	private void finishResponse(Exchange exchange) {
		this.reader = Optional.empty();
		this.abandonedAtMillis = System.currentTimeMillis();
		exchange.finishChunkedResponse(Map.of(TargetHeaders.RESPONSE_BYTES, Integer.toString(this.totalBytes)));
	}

	private void detach(Exchange exchange) {
		if (this.reader.filter((current) -> current == exchange).isPresent()) {
			this.reader = Optional.empty();
			this.abandonedAtMillis = System.currentTimeMillis();
		}
	}

}
