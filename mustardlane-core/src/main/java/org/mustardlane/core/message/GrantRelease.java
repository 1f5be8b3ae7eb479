package org.mustardlane.core.message;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.target.AttemptTiming;

/**
 * Gives a grant back, with what was seen of the target.
 *
 * @param requestId the request
 * @param attempt number of the attempt
 * @param shard the shard
 * @param grantId the grant
 * @param target the target
 * @param cause why
 * @param timing how fast the target was
 */
public record GrantRelease(RequestId requestId, int attempt, ShardId shard, long grantId, TargetId target,
		ReleaseCause cause, AttemptTiming timing) implements PeerMessage {

}
