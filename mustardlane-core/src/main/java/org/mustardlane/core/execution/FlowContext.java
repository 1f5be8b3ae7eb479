package org.mustardlane.core.execution;

import org.mustardlane.core.chat.ShardRoute;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;

/**
 * What a request flow may look at besides its own state.
 *
 * @param self this router
 * @param catalogue the catalogue in force
 * @param route the order of shards for each chat, from the same catalogue
 * @param ownership who owns what
 * @param budgets the budgets of extra attempts
 * @param firstTokenTimes the first-token times seen lately
 */
record FlowContext(VmId self, CatalogueSnapshot catalogue, ShardRoute route, Ownership ownership,
		AttemptBudgets budgets, FirstTokenTimes firstTokenTimes) {

}
