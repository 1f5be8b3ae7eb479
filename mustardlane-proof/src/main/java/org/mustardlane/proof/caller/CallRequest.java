package org.mustardlane.proof.caller;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.mustardlane.proof.fleet.CatalogueYaml;

/**
 * A request of a caller.
 *
 * @param entry the catalogue entry
 * @param body the request body
 * @param organisation the organisation whose key the request carries
 * @param chatId the id of the chat that the request continues
 * @param idempotencyKey the idempotency key
 * @param timeoutMillis the timeout that the caller states, in milliseconds
 */
public record CallRequest(String entry, byte[] body, String organisation, Optional<String> chatId,
		Optional<String> idempotencyKey, Optional<Integer> timeoutMillis) {

	/**
	 * Creates a request for a number of tokens.
	 * @param entry the catalogue entry
	 * @param tokens number of tokens to generate
	 * @param text text that makes the body unique
	 * @return the new request
	 */
	public static CallRequest forTokens(String entry, int tokens, String text) {
		String body = "{\"maxTokens\":%d,\"text\":\"%s\"}".formatted(tokens, text);
		return new CallRequest(entry, body.getBytes(StandardCharsets.UTF_8), CatalogueYaml.ORGANISATION,
				Optional.empty(), Optional.empty(), Optional.empty());
	}

	/**
	 * Returns this request as part of a chat.
	 * @param id the id of the chat
	 * @return the new request
	 */
	public CallRequest inChat(String id) {
		return new CallRequest(this.entry, this.body, this.organisation, Optional.of(id), this.idempotencyKey,
				this.timeoutMillis);
	}

	/**
	 * Returns this request with an idempotency key.
	 * @param key the idempotency key
	 * @return the new request
	 */
	public CallRequest withIdempotencyKey(String key) {
		return new CallRequest(this.entry, this.body, this.organisation, this.chatId, Optional.of(key),
				this.timeoutMillis);
	}

	/**
	 * Returns this request with the key of another organisation.
	 * @param name the name of the organisation
	 * @return the new request
	 */
	public CallRequest withOrganisation(String name) {
		return new CallRequest(this.entry, this.body, name, this.chatId, this.idempotencyKey, this.timeoutMillis);
	}

	/**
	 * Returns this request with a timeout.
	 * @param millis the timeout in milliseconds
	 * @return the new request
	 */
	public CallRequest withTimeout(int millis) {
		return new CallRequest(this.entry, this.body, this.organisation, this.chatId, this.idempotencyKey,
				Optional.of(millis));
	}

}
