package org.mustardlane.core.event;

/**
 * An event that a router handles.
 */
public sealed interface NodeEvent permits RequestArrived, RequestCancelled, AttemptSending, AttemptHeadReceived,
		AttemptBytesReceived, AttemptEnded, JoinEnded, PeerMessageReceived, PeerUnreachable, LogRecordsRead,
		LogReadFailed, LogAppendEnded, VmListRead, TargetReported, TargetPollFailed, Tick, DrainRequested,
		PublishRequested, CatalogueChanged, OwnershipChanged, OrderRequested, OrderEnded {

}
