package org.mustardlane.core.execution;

import java.util.Optional;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.CallerRequest;

/**
 * A request that has passed the checks against the catalogue.
 *
 * @param id identifier of the request
 * @param request the request as it arrived
 * @param entry the catalogue entry at the time of arrival
 * @param deadlineMillis deadline of the response, in milliseconds since the epoch
 * @param chatHash hash of the chat, which determines the order of targets
 * @param claim the claim that the request needs, empty for idempotent entries
 */
record AcceptedRequest(RequestId id, CallerRequest request, CatalogueEntry entry, long deadlineMillis, long chatHash,
		Optional<ClaimIdentity> claim) {

}
