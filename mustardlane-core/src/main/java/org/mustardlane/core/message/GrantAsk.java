package org.mustardlane.core.message;

import java.util.Set;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;

/**
 * Asks the owner of a shard for the right to use a target.
 *
 * @param requestId the request
 * @param attempt number of the attempt within the request
 * @param shard the shard
 * @param entry the catalogue entry
 * @param organisation the organisation
 * @param serviceClass how urgent the work is
 * @param chatHash hash of the chat; the order of targets follows from it
 * @param deadlineMillis when the caller gives up
 * @param expectedWorkMillis usual time at a target
 * @param excludedTargets targets that have failed this request
 * @param mayQueue false where the owner should redirect rather than queue
 */
public record GrantAsk(RequestId requestId, int attempt, ShardId shard, EntryName entry, OrganisationId organisation,
		ServiceClass serviceClass, long chatHash, long deadlineMillis, long expectedWorkMillis,
		Set<TargetId> excludedTargets, boolean mayQueue) implements PeerMessage {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public GrantAsk {
		excludedTargets = Set.copyOf(excludedTargets);
	}

}
