package org.mustardlane.core.model.execution;

import java.util.Optional;

import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;

/**
 * A received request whose body has been read completely.
 *
 * @param organisation the organisation that the caller names
 * @param organisationKey the key that authenticates the organisation
 * @param entry the catalogue entry
 * @param chatId identifier of the chat that the request continues
 * @param idempotencyKey the key under which the request runs at most once
 * @param bodyDigest SHA-256 digest of the body
 * @param bodyBytes size of the body in bytes
 * @param arrivedAtMillis arrival time of the request head
 * @param deadlineMillis deadline of the caller, if the request states one
 */
public record CallerRequest(OrganisationId organisation, String organisationKey, EntryName entry,
		Optional<String> chatId, Optional<String> idempotencyKey, byte[] bodyDigest, int bodyBytes,
		long arrivedAtMillis, Optional<Long> deadlineMillis) {

}
