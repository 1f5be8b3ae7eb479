package org.mustardlane.standin.target;

import java.util.Optional;

import org.mustardlane.standin.http.Exchange;

/**
 * Journal entry of one request that a target has started.
 */
final class JournalEntry {

	private final long number;

	private final String requestId;

	private final Optional<String> idempotencyKey;

	private final Optional<String> chat;

	private final Optional<String> fencingNumber;

	private final Optional<String> priority;

	private final String path;

	private final String bodyDigest;

	private final int continueOffset;

	private final long startedAtMillis;

	private final boolean cacheHit;

	private final int cachedBytes;

	private long firstTokenAtMillis;

	private long endedAtMillis;

	private String result = "RUNNING";

	JournalEntry(long number, Exchange exchange, byte[] callerBody, int continueOffset, int cachedBytes) {
		this.number = number;
		this.requestId = exchange.header(TargetHeaders.REQUEST_ID).orElse("");
		this.idempotencyKey = exchange.header(TargetHeaders.IDEMPOTENCY_KEY);
		this.chat = exchange.header(TargetHeaders.CHAT_ID);
		this.fencingNumber = exchange.header(TargetHeaders.FENCING_NUMBER);
		this.priority = exchange.header(TargetHeaders.PRIORITY);
		this.path = exchange.path();
		this.bodyDigest = ResponseText.sha256Hex(callerBody);
		this.continueOffset = continueOffset;
		this.startedAtMillis = System.currentTimeMillis();
		this.cacheHit = cachedBytes > 0;
		this.cachedBytes = cachedBytes;
	}

	boolean isFirstTokenPending() {
		return this.firstTokenAtMillis == 0;
	}

	void recordFirstToken() {
		this.firstTokenAtMillis = System.currentTimeMillis();
	}

	void recordEnd(String endResult) {
		this.endedAtMillis = System.currentTimeMillis();
		this.result = endResult;
	}

	long number() {
		return this.number;
	}

	JournalRow toRow() {
		return new JournalRow(this.number, this.requestId, this.idempotencyKey.orElse(""), this.chat.orElse(""),
				this.fencingNumber.orElse(""), this.priority.orElse(""), this.path, this.bodyDigest,
				this.continueOffset, this.startedAtMillis, this.cacheHit, this.cachedBytes, this.firstTokenAtMillis,
				this.endedAtMillis, this.result);
	}

}
