package org.mustardlane.core.model.execution;

import java.util.Optional;

import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;

/**
 * A request as it arrived, its body read to the end.
 *
 * @param organisation the organisation that the caller names
 * @param organisationKey the key that proves it
 * @param entry the catalogue entry
 * @param chatId the chat that the request continues
 * @param idempotencyKey the key under which the request runs at most once
 * @param bodyDigest SHA-256 of the body
 * @param bodyBytes size of the body
 * @param arrivedAtMillis when the head arrived
 * @param deadlineMillis when the caller gives up, if it said so
 */
public record CallerRequest(OrganisationId organisation, String organisationKey, EntryName entry,
		Optional<String> chatId, Optional<String> idempotencyKey, byte[] bodyDigest, int bodyBytes,
		long arrivedAtMillis, Optional<Long> deadlineMillis) {

}
