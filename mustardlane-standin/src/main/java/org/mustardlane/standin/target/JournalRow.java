package org.mustardlane.standin.target;

/**
 * What a target recorded of one request.
 *
 * @param number counts the requests that were started, from 1
 * @param requestId the request and its attempt
 * @param idempotencyKey the key, empty where there is none
 * @param chat the chat, empty where there is none
 * @param fencingNumber the offset of the claim, empty where there is none
 * @param priority the priority, empty where there is none
 * @param path the path of the call
 * @param bodyDigest SHA-256 of the body of the caller
 * @param continueOffset bytes that another generation had delivered before
 * @param startedAtMillis when it was started
 * @param cacheHit whether a part of the prompt was cached
 * @param cachedBytes how much of the prompt was cached
 * @param firstTokenAtMillis when the first token was ready, 0 before it
 * @param endedAtMillis when it ended, 0 before that
 * @param end how it ended
 */
public record JournalRow(long number, String requestId, String idempotencyKey, String chat, String fencingNumber,
		String priority, String path, String bodyDigest, int continueOffset, long startedAtMillis, boolean cacheHit,
		int cachedBytes, long firstTokenAtMillis, long endedAtMillis, String end) {

}
