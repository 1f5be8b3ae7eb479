package org.mustardlane.router.exchange;

import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.execution.CallerRequest;

/**
 * Names chats towards engines without telling them their names.
 */
final class ChatHash {

	private static final char SEPARATOR = '\0';

	private ChatHash() {
	}

	/**
	 * Hashes the chat of a request, so that chats of other organisations and entries
	 * never have the same name.
	 * @param request the request
	 * @param chatId its chat
	 * @return the hash in hexadecimal
	 */
	static String of(CallerRequest request, String chatId) {
		String name = request.organisation().value() + SEPARATOR + request.entry().value() + SEPARATOR + chatId;
		return Long.toHexString(RendezvousHash.hash(name));
	}

}
