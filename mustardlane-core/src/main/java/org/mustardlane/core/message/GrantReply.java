package org.mustardlane.core.message;

import java.util.Optional;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * The reply to a {@link GrantRequest}.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request, starting at 1
 * @param shard the requested shard, or with {@code REDIRECTED} the shard to request a
 * grant from
 * @param verdict the decision of the owner
 * @param grantId identifier of the grant, 0 without a grant
 * @param target the granted target
 * @param expiryMillis time by which the request must be sent or the grant renewed
 * @param retryAfterMillis with {@code REFUSED}: delay after which the caller may retry
 * @param refusalCode with {@code REFUSED}: the reason
 */
public record GrantReply(RequestId requestId, int attempt, ShardId shard, GrantVerdict verdict, long grantId,
		Optional<TargetId> target, long expiryMillis, long retryAfterMillis,
		Optional<RefusalCode> refusalCode) implements PeerMessage {

}
