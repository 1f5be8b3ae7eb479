package org.mustardlane.core.execution;

import org.mustardlane.core.chat.ShardRanking;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;

/**
 * The state that all request flows of this router share.
 *
 * @param self the VM of this router
 * @param catalogue the catalogue in force
 * @param shardRanking computes the shard order of each chat, from the same catalogue
 * @param ownership the owners of shards and claim partitions
 * @param budgets the budgets for hedges and retries
 * @param firstTokenTimes the recent first-token times of each entry
 */
record FlowContext(VmId self, CatalogueSnapshot catalogue, ShardRanking shardRanking, Ownership ownership,
		AttemptBudgets budgets, FirstTokenTimes firstTokenTimes) {

}
