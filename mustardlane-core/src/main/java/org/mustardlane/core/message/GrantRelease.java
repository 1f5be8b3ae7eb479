package org.mustardlane.core.message;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.target.AttemptTiming;

/**
 * Releases a grant and reports the measured performance of the target. With grant
 * identifier 0 it withdraws a grant request.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request, starting at 1
 * @param shard the shard
 * @param grantId identifier of the grant, 0 to withdraw a request
 * @param target the target
 * @param cause why the grant is released
 * @param timing measured times of the attempt
 */
public record GrantRelease(RequestId requestId, int attempt, ShardId shard, long grantId, TargetId target,
		ReleaseCause cause, AttemptTiming timing) implements PeerMessage {

}
