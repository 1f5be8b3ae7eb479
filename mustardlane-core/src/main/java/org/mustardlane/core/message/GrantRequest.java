package org.mustardlane.core.message;

import java.util.Set;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;

/**
 * Requests a grant to use a target from the owner of a shard.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request
 * @param shard the shard
 * @param entry the catalogue entry
 * @param organisation the organisation
 * @param serviceClass service class of the request
 * @param chatHash hash of the chat, which determines the order of targets
 * @param deadlineMillis deadline of the request
 * @param expectedWorkMillis expected service time at a target
 * @param excludedTargets targets at which this request has failed
 * @param mayQueue whether the owner may queue the request; otherwise it redirects the
 * request if another shard has capacity
 */
public record GrantRequest(RequestId requestId, int attempt, ShardId shard, EntryName entry,
		OrganisationId organisation, ServiceClass serviceClass, long chatHash, long deadlineMillis,
		long expectedWorkMillis, Set<TargetId> excludedTargets, boolean mayQueue) implements PeerMessage {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public GrantRequest {
		excludedTargets = Set.copyOf(excludedTargets);
	}

}
