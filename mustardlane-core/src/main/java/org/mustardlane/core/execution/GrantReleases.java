package org.mustardlane.core.execution;

import java.util.List;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.target.AttemptTiming;

/**
 * Creates release messages for grants that no attempt uses.
 */
final class GrantReleases {

	/**
	 * Placeholder for the target in a release that withdraws a grant request before it
	 * was granted.
	 */
	static final TargetId NO_TARGET = new TargetId("none");

	private static final AttemptTiming NO_TIMING = new AttemptTiming(-1, -1, 0);

	private GrantReleases() {
	}

	/**
	 * Releases a grant under which nothing was sent.
	 * @param reply the reply that carries the grant
	 * @param context the context that holds the current ownership
	 * @return the message to the owner of the shard, empty if there is no owner
	 */
	static List<NodeAction> releaseUnused(GrantReply reply, FlowContext context) {
		GrantRelease release = new GrantRelease(reply.requestId(), reply.attempt(), reply.shard(), reply.grantId(),
				reply.target().orElse(NO_TARGET), ReleaseCause.UNUSED, NO_TIMING);
		return context.ownership()
			.shardOwner(reply.shard())
			.<List<NodeAction>>map((owner) -> List.of(new SendPeer(owner, release)))
			.orElse(List.of());
	}

}
