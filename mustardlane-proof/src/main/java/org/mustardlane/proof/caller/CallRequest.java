package org.mustardlane.proof.caller;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.mustardlane.proof.fleet.CatalogueYaml;

/**
 * A request as a caller sends it.
 *
 * @param entry the catalogue entry
 * @param body the body
 * @param organisation the organisation that calls
 * @param chatId the chat
 * @param idempotencyKey the idempotency key
 * @param timeoutMillis how long the caller waits
 */
public record CallRequest(String entry, byte[] body, String organisation, Optional<String> chatId,
		Optional<String> idempotencyKey, Optional<Integer> timeoutMillis) {

	/**
	 * Creates a request for an answer of some tokens.
	 * @param entry the catalogue entry
	 * @param tokens length of the answer
	 * @param text what makes the body different from others
	 * @return the request
	 */
	public static CallRequest ofTokens(String entry, int tokens, String text) {
		String body = "{\"maxTokens\":%d,\"text\":\"%s\"}".formatted(tokens, text);
		return new CallRequest(entry, body.getBytes(StandardCharsets.UTF_8), CatalogueYaml.ORGANISATION,
				Optional.empty(), Optional.empty(), Optional.empty());
	}

	/**
	 * Returns this request in a chat.
	 * @param id the chat
	 * @return the request
	 */
	public CallRequest inChat(String id) {
		return new CallRequest(this.entry, this.body, this.organisation, Optional.of(id), this.idempotencyKey,
				this.timeoutMillis);
	}

	/**
	 * Returns this request with an idempotency key.
	 * @param key the key
	 * @return the request
	 */
	public CallRequest withKey(String key) {
		return new CallRequest(this.entry, this.body, this.organisation, this.chatId, Optional.of(key),
				this.timeoutMillis);
	}

	/**
	 * Returns this request of another organisation.
	 * @param name the organisation
	 * @return the request
	 */
	public CallRequest by(String name) {
		return new CallRequest(this.entry, this.body, name, this.chatId, this.idempotencyKey, this.timeoutMillis);
	}

	/**
	 * Returns this request with a timeout.
	 * @param millis the timeout
	 * @return the request
	 */
	public CallRequest within(int millis) {
		return new CallRequest(this.entry, this.body, this.organisation, this.chatId, this.idempotencyKey,
				Optional.of(millis));
	}

}
