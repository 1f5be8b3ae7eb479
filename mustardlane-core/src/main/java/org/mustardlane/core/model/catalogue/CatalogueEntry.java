package org.mustardlane.core.model.catalogue;

import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.PoolId;

/**
 * What operators have published about one kind of work.
 *
 * @param name the name that callers use
 * @param owner the organisation that answers for the entry
 * @param serviceClass how urgent the work is
 * @param pool the targets among which a request is placed
 * @param idempotent whether a request may run more than once
 * @param streaming whether the answer is a stream of tokens
 * @param path path of the call at the target
 * @param bodyLimitBytes largest request body
 * @param answerLimitMillis longest time from arrival to the end of the answer
 * @param expectedWorkMillis usual time at a target
 * @param loadBoundPercent load that one target may carry, in percent of the mean
 * @param revision log offset of the change that last touched the entry
 */
public record CatalogueEntry(EntryName name, OrganisationId owner, ServiceClass serviceClass, PoolId pool,
		boolean idempotent, boolean streaming, String path, int bodyLimitBytes, int answerLimitMillis,
		int expectedWorkMillis, int loadBoundPercent, long revision) {

}
