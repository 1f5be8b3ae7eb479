package org.mustardlane.core.node;

import java.util.Optional;

import org.mustardlane.core.event.AbortAnswer;
import org.mustardlane.core.event.CancelAttempt;
import org.mustardlane.core.event.FinishAnswer;
import org.mustardlane.core.event.JoinAnswer;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.RefuseRequest;
import org.mustardlane.core.event.RequestArrived;
import org.mustardlane.core.event.SendStoredAnswer;
import org.mustardlane.core.event.StartAttempt;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.timeline.TimelineEvent;

/**
 * Creates time line events for the progress of requests and for changes of ownership.
 *
 * <p>
 * Immutable and thread-safe. The daemon sets the final hybrid time when it records the
 * event.
 */
final class ActionTimeline {

	private static final int COUNTER_BITS = 16;

	private final VmId self;

	private final DomainId domain;

	ActionTimeline(VmId self, DomainId domain) {
		this.self = self;
		this.domain = domain;
	}

	Optional<TimelineEvent> describe(NodeEvent event, long nowMillis) {
		if (event instanceof RequestArrived arrived) {
			return requestEvent(arrived.requestId(), "request-arrived", "entry " + arrived.request().entry(),
					nowMillis);
		}
		if (event instanceof OwnershipChanged changed) {
			String routers = "live routers: " + changed.ownership().routers().keySet().stream().sorted().toList();
			return event("ownership-changed", this.self.value(), routers, nowMillis);
		}
		if (event instanceof PeerMessageReceived received && received.message() instanceof ClaimReply reply) {
			return requestEvent(reply.requestId(), "claim-answered", reply.verdict() + " at offset " + reply.offset(),
					nowMillis);
		}
		return Optional.empty();
	}

	Optional<TimelineEvent> describe(NodeAction action, long nowMillis) {
		if (action instanceof StartAttempt start) {
			String detail = start.kind() + " attempt " + start.attempt() + " at " + start.target().id();
			return requestEvent(start.requestId(), "attempt-started", detail, nowMillis);
		}
		if (action instanceof CancelAttempt cancel) {
			return requestEvent(cancel.requestId(), "attempt-cancelled", "attempt " + cancel.attempt(), nowMillis);
		}
		if (action instanceof JoinAnswer join) {
			String detail = "answer of " + join.holderRequestId() + " on " + join.holderVm();
			return requestEvent(join.requestId(), "answer-joined", detail, nowMillis);
		}
		if (action instanceof FinishAnswer finish) {
			return requestEvent(finish.requestId(), "answered", "whole", nowMillis);
		}
		if (action instanceof SendStoredAnswer stored) {
			return requestEvent(stored.requestId(), "answered", "from the completion record", nowMillis);
		}
		if (action instanceof RefuseRequest refuse) {
			return requestEvent(refuse.requestId(), "refused", describe(refuse.refusal()), nowMillis);
		}
		if (action instanceof AbortAnswer abort) {
			return requestEvent(abort.requestId(), "answer-broken", describe(abort.refusal()), nowMillis);
		}
		return Optional.empty();
	}

	private static String describe(Refusal refusal) {
		return refusal.outcome() + " " + refusal.code() + ": " + refusal.message();
	}

	private Optional<TimelineEvent> requestEvent(RequestId request, String kind, String detail, long nowMillis) {
		return event(kind, request.value(), detail, nowMillis);
	}

	private Optional<TimelineEvent> event(String kind, String subject, String detail, long nowMillis) {
		return Optional.of(new TimelineEvent(nowMillis << COUNTER_BITS, this.self.value(), this.domain.value(), kind,
				subject, detail));
	}

}
