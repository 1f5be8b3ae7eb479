package org.mustardlane.router.worker;

import java.util.Optional;

import org.mustardlane.core.event.AbortAnswer;
import org.mustardlane.core.event.AttemptBytesReceived;
import org.mustardlane.core.event.AttemptEnded;
import org.mustardlane.core.event.AttemptHeadReceived;
import org.mustardlane.core.event.AttemptSending;
import org.mustardlane.core.event.CancelAttempt;
import org.mustardlane.core.event.FinishAnswer;
import org.mustardlane.core.event.ForwardAttempt;
import org.mustardlane.core.event.JoinAnswer;
import org.mustardlane.core.event.JoinEnded;
import org.mustardlane.core.event.KeepAnswer;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.LogReadFailed;
import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.PeerUnreachable;
import org.mustardlane.core.event.RefuseRequest;
import org.mustardlane.core.event.RequestArrived;
import org.mustardlane.core.event.RequestCancelled;
import org.mustardlane.core.event.SendStoredAnswer;
import org.mustardlane.core.event.StartAttempt;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.ClaimRequest;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.model.common.RequestId;

/**
 * Derives ordering keys: events and actions with the same key run on the same worker, in
 * order.
 */
final class OrderingKeys {

	private OrderingKeys() {
	}

	/**
	 * Returns the ordering key of an event: its request or, if it belongs to none, its
	 * source.
	 * @param event the event
	 * @return the key, whose hash selects the worker
	 */
	static String of(NodeEvent event) {
		return requestOf(event).map(RequestId::value).orElseGet(() -> sourceOf(event));
	}

	/**
	 * Returns the request that an action belongs to.
	 * @param action the action
	 * @return the request, or empty if the action belongs to none
	 */
	static Optional<RequestId> requestOf(NodeAction action) {
		if (action instanceof StartAttempt start) {
			return Optional.of(start.requestId());
		}
		if (action instanceof CancelAttempt cancel) {
			return Optional.of(cancel.requestId());
		}
		if (action instanceof ForwardAttempt forward) {
			return Optional.of(forward.requestId());
		}
		if (action instanceof FinishAnswer finish) {
			return Optional.of(finish.requestId());
		}
		if (action instanceof AbortAnswer abort) {
			return Optional.of(abort.requestId());
		}
		if (action instanceof RefuseRequest refuse) {
			return Optional.of(refuse.requestId());
		}
		if (action instanceof SendStoredAnswer stored) {
			return Optional.of(stored.requestId());
		}
		if (action instanceof JoinAnswer join) {
			return Optional.of(join.requestId());
		}
		if (action instanceof KeepAnswer keep) {
			return Optional.of(keep.requestId());
		}
		return Optional.empty();
	}

	private static Optional<RequestId> requestOf(NodeEvent event) {
		if (event instanceof RequestArrived arrived) {
			return Optional.of(arrived.requestId());
		}
		if (event instanceof RequestCancelled cancelled) {
			return Optional.of(cancelled.requestId());
		}
		if (event instanceof AttemptSending sending) {
			return Optional.of(sending.requestId());
		}
		if (event instanceof AttemptHeadReceived head) {
			return Optional.of(head.requestId());
		}
		if (event instanceof AttemptBytesReceived bytes) {
			return Optional.of(bytes.requestId());
		}
		if (event instanceof AttemptEnded ended) {
			return Optional.of(ended.requestId());
		}
		if (event instanceof JoinEnded ended) {
			return Optional.of(ended.requestId());
		}
		if (event instanceof PeerMessageReceived received) {
			return requestOf(received.message());
		}
		if (event instanceof PeerUnreachable unreachable) {
			return requestOf(unreachable.message());
		}
		return Optional.empty();
	}

	private static Optional<RequestId> requestOf(PeerMessage message) {
		if (message instanceof GrantRequest request) {
			return Optional.of(request.requestId());
		}
		if (message instanceof GrantReply reply) {
			return Optional.of(reply.requestId());
		}
		if (message instanceof GrantRelease release) {
			return Optional.of(release.requestId());
		}
		if (message instanceof ClaimRequest request) {
			return Optional.of(request.requestId());
		}
		if (message instanceof ClaimReply reply) {
			return Optional.of(reply.requestId());
		}
		return Optional.empty();
	}

	private static String sourceOf(NodeEvent event) {
		if (event instanceof LogRecordsRead read) {
			return read.stream().value();
		}
		if (event instanceof LogReadFailed failed) {
			return failed.stream().value();
		}
		if (event instanceof LogAppendEnded ended) {
			return ended.stream().value();
		}
		if (event instanceof PeerMessageReceived received) {
			return received.sender().value();
		}
		if (event instanceof PeerUnreachable unreachable) {
			return unreachable.peer().value();
		}
		return event.getClass().getSimpleName();
	}

}
