package org.mustardlane.core.admission;

import java.util.Optional;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.GrantAnswer;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.GrantVerdict;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * Builds the answers to asks.
 */
final class GrantAnswers {

	private GrantAnswers() {
	}

	static NodeAction granted(VmId sender, GrantAsk ask, Grant grant) {
		return new SendPeer(sender, new GrantAnswer(ask.requestId(), ask.attempt(), ask.shard(), GrantVerdict.GRANTED,
				grant.grantId(), Optional.of(grant.target()), grant.expiryMillis(), 0, Optional.empty()));
	}

	static NodeAction redirected(PendingAsk pending, ShardId shard) {
		return withoutGrant(pending.sender(), pending.ask(), shard, GrantVerdict.REDIRECTED, 0, Optional.empty());
	}

	static NodeAction refused(PendingAsk pending, RefusalCode code, long retryAfterMillis) {
		return withoutGrant(pending.sender(), pending.ask(), pending.ask().shard(), GrantVerdict.REFUSED,
				retryAfterMillis, Optional.of(code));
	}

	static NodeAction notOwner(VmId sender, GrantAsk ask) {
		return withoutGrant(sender, ask, ask.shard(), GrantVerdict.NOT_OWNER, 0, Optional.empty());
	}

	private static NodeAction withoutGrant(VmId sender, GrantAsk ask, ShardId shard, GrantVerdict verdict,
			long retryAfterMillis, Optional<RefusalCode> code) {
		return new SendPeer(sender, new GrantAnswer(ask.requestId(), ask.attempt(), shard, verdict, 0, Optional.empty(),
				0, retryAfterMillis, code));
	}

}
