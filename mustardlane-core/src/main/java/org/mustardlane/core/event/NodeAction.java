package org.mustardlane.core.event;

/**
 * An action that a router carries out.
 */
public sealed interface NodeAction permits PublishEnded, StartAttempt, CancelAttempt, ForwardAttempt, FinishAnswer,
		AbortAnswer, RefuseRequest, SendStoredAnswer, JoinAnswer, KeepAnswer, SendPeer, AppendLog, FollowStream,
		UnfollowStream, PollTarget, RecordEvent, DrainFinished, RaiseEvent, SendOrder {

}
