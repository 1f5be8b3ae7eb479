package org.mustardlane.router.exchange;

import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.execution.CallerRequest;

/**
 * Hashes chat ids, so that engines can tell chats apart without seeing the ids.
 */
final class ChatHash {

	private static final char SEPARATOR = '\0';

	private ChatHash() {
	}

	/**
	 * Hashes the chat id of a request together with its organisation and entry, so that
	 * equal chat ids of different organisations or entries give different hashes.
	 * @param request the request
	 * @param chatId chat id of the request
	 * @return the hash in hexadecimal
	 */
	static String of(CallerRequest request, String chatId) {
		String key = request.organisation().value() + SEPARATOR + request.entry().value() + SEPARATOR + chatId;
		return Long.toHexString(RendezvousHash.hash(key));
	}

}
