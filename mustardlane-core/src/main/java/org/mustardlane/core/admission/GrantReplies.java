package org.mustardlane.core.admission;

import java.util.Optional;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.GrantVerdict;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * Builds the replies to grant requests.
 */
final class GrantReplies {

	private GrantReplies() {
	}

	static NodeAction createGrant(VmId sender, GrantRequest request, Grant grant) {
		return new SendPeer(sender,
				new GrantReply(request.requestId(), request.attempt(), request.shard(), GrantVerdict.GRANTED,
						grant.grantId(), Optional.of(grant.target()), grant.expiryMillis(), 0, Optional.empty()));
	}

	static NodeAction createRedirect(PendingRequest pending, ShardId shard) {
		return createWithoutGrant(pending.sender(), pending.request(), shard, GrantVerdict.REDIRECTED, 0,
				Optional.empty());
	}

	static NodeAction createRefusal(PendingRequest pending, RefusalCode code, long retryAfterMillis) {
		return createWithoutGrant(pending.sender(), pending.request(), pending.request().shard(), GrantVerdict.REFUSED,
				retryAfterMillis, Optional.of(code));
	}

	static NodeAction createNotOwner(VmId sender, GrantRequest request) {
		return createWithoutGrant(sender, request, request.shard(), GrantVerdict.NOT_OWNER, 0, Optional.empty());
	}

	private static NodeAction createWithoutGrant(VmId sender, GrantRequest request, ShardId shard, GrantVerdict verdict,
			long retryAfterMillis, Optional<RefusalCode> code) {
		return new SendPeer(sender, new GrantReply(request.requestId(), request.attempt(), shard, verdict, 0,
				Optional.empty(), 0, retryAfterMillis, code));
	}

}
