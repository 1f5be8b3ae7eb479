package org.mustardlane.core.message;

import java.util.Optional;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * Answers a {@link GrantAsk}.
 *
 * @param requestId the request
 * @param attempt number of the attempt
 * @param shard the asked shard, or with {@code REDIRECTED} the one to ask
 * @param verdict the answer
 * @param grantId names the grant, 0 without one
 * @param target the granted target
 * @param expiryMillis until when the request must have been sent or the grant renewed
 * @param retryAfterMillis with {@code REFUSED}: when to come back
 * @param refusalCode with {@code REFUSED}: why
 */
public record GrantAnswer(RequestId requestId, int attempt, ShardId shard, GrantVerdict verdict, long grantId,
		Optional<TargetId> target, long expiryMillis, long retryAfterMillis,
		Optional<RefusalCode> refusalCode) implements PeerMessage {

}
