package org.mustardlane.core.model.catalogue;

import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.PoolId;

/**
 * A catalogue entry, which describes one kind of request.
 *
 * @param name the name that callers use
 * @param owner the organisation that is responsible for the entry
 * @param serviceClass service class of the requests
 * @param pool the pool whose targets serve the requests
 * @param idempotent whether a request may run more than once
 * @param streaming whether the response is a stream of tokens
 * @param path path of the call at the target
 * @param bodyLimitBytes maximum size of a request body
 * @param answerLimitMillis maximum time from the arrival of a request to the end of its
 * response
 * @param expectedWorkMillis expected service time at a target
 * @param loadBoundPercent maximum load of one target, in percent of the mean load
 * @param revision log offset of the last change of the entry
 */
public record CatalogueEntry(EntryName name, OrganisationId owner, ServiceClass serviceClass, PoolId pool,
		boolean idempotent, boolean streaming, String path, int bodyLimitBytes, int answerLimitMillis,
		int expectedWorkMillis, int loadBoundPercent, long revision) {

}
