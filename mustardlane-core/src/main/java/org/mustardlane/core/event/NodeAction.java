package org.mustardlane.core.event;

/**
 * Something that a router is to do.
 */
public sealed interface NodeAction permits PublishEnded, StartAttempt, CancelAttempt, ForwardAttempt, FinishAnswer,
		AbortAnswer, RefuseRequest, SendStoredAnswer, JoinAnswer, KeepAnswer, SendPeer, AppendLog, FollowStream,
		UnfollowStream, PollTarget, RecordEvent, DrainFinished, RaiseEvent, SendOrder {

}
