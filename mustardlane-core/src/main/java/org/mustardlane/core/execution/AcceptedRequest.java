package org.mustardlane.core.execution;

import java.util.Optional;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.CallerRequest;

/**
 * A request that the catalogue allows.
 *
 * @param id the request
 * @param request the request as it arrived
 * @param entry the catalogue entry at the time of arrival
 * @param deadlineMillis when the request is given up
 * @param chatHash hash that decides the order of targets
 * @param claim the claim that it needs, empty for idempotent work
 */
record AcceptedRequest(RequestId id, CallerRequest request, CatalogueEntry entry, long deadlineMillis, long chatHash,
		Optional<ClaimIdentity> claim) {

}
