package org.mustardlane.standin.target;

/**
 * Snapshot of a journal entry, as a target reports it over HTTP.
 *
 * @param number sequence number among the started requests, from 1
 * @param requestId id of the request and its attempt
 * @param idempotencyKey idempotency key, empty if the request has none
 * @param chat id of the chat, empty if the request has none
 * @param fencingNumber log offset of the claim, empty if the request has none
 * @param priority priority header, empty if the request has none
 * @param path path of the request
 * @param bodyDigest SHA-256 of the body that the caller sent, in hexadecimal
 * @param continueOffset number of response bytes that an earlier generation delivered
 * @param startedAtMillis time of the start in milliseconds since the epoch
 * @param cacheHit whether a prefix of the prompt was cached
 * @param cachedBytes length of the cached prefix in bytes
 * @param firstTokenAtMillis time of the first token in milliseconds since the epoch, 0 if
 * there is none yet
 * @param endedAtMillis time of the end in milliseconds since the epoch, 0 while the
 * request runs
 * @param end {@code RUNNING}, or the result after the end, such as {@code WHOLE},
 * {@code BROKEN}, {@code ANSWER_LOST}, {@code CANCELLED} or {@code ABANDONED}
 */
public record JournalRow(long number, String requestId, String idempotencyKey, String chat, String fencingNumber,
		String priority, String path, String bodyDigest, int continueOffset, long startedAtMillis, boolean cacheHit,
		int cachedBytes, long firstTokenAtMillis, long endedAtMillis, String end) {

}
