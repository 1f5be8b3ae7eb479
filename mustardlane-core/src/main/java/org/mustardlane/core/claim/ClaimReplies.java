package org.mustardlane.core.claim;

import java.util.Optional;

import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.ClaimRequest;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.message.StoredResponse;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;

/**
 * Builds the replies to claim requests.
 *
 * <p>
 * Immutable and thread-safe.
 */
final class ClaimReplies {

	private final ClaimSettings settings;

	/**
	 * Creates the factory of replies.
	 * @param settings limits and durations
	 */
	ClaimReplies(ClaimSettings settings) {
		this.settings = settings;
	}

	/**
	 * Replies that the claim of this request holds the key.
	 * @param request the claim request
	 * @param holder the claim of the request
	 * @return the reply, with the log offset of the claim as fencing number
	 */
	ClaimReply createHeld(ClaimRequest request, LoggedFact<ClaimMade> holder) {
		return replyWithHolder(request, ClaimVerdict.HELD, holder, Optional.empty());
	}

	/**
	 * Replies that a claim of another attempt holds the key.
	 * @param request the claim request
	 * @param verdict {@code HELD_BY_OTHER} or {@code BODY_DIFFERS}
	 * @param holder the claim that holds the key
	 * @return the reply
	 */
	ClaimReply createHeldByOther(ClaimRequest request, ClaimVerdict verdict, LoggedFact<ClaimMade> holder) {
		return replyWithHolder(request, verdict, holder, Optional.empty());
	}

	/**
	 * Replies with the stored response of the request that holds the key.
	 * @param request the claim request
	 * @param holder the claim that holds the key
	 * @param completed the record of the response
	 * @return the reply
	 */
	ClaimReply createCompleted(ClaimRequest request, LoggedFact<ClaimMade> holder, ClaimCompleted completed) {
		StoredResponse response = new StoredResponse(completed.status(), completed.contentType(), completed.body());
		return replyWithHolder(request, ClaimVerdict.COMPLETED, holder, Optional.of(response));
	}

	private ClaimReply replyWithHolder(ClaimRequest request, ClaimVerdict verdict, LoggedFact<ClaimMade> holder,
			Optional<StoredResponse> response) {
		VmId vm = new VmId(holder.fact().vm());
		RequestId requestId = new RequestId(holder.fact().requestId());
		return new ClaimReply(request.requestId(), request.attemptId(), verdict, holder.offset(), Optional.of(vm),
				Optional.of(requestId), response, 0);
	}

	/**
	 * Replies that the request is not executed because the claim could not be decided.
	 * The retry delay varies by attempt, so that the callers do not all retry at once.
	 * @param request the claim request
	 * @param waitMillis time until the partition can decide again, 0 if unknown
	 * @return the reply
	 */
	ClaimReply createUnavailable(ClaimRequest request, long waitMillis) {
		long minDelayMillis = Math.max(waitMillis, this.settings.retryAfterMillis());
		long jitterMillis = Long.remainderUnsigned(RendezvousHash.hash(request.attemptId()), minDelayMillis);
		return replyWithoutHolder(request, ClaimVerdict.UNAVAILABLE, minDelayMillis + jitterMillis);
	}

	/**
	 * Replies that this router does not own the partition of the key.
	 * @param request the claim request
	 * @return the reply
	 */
	ClaimReply createNotOwner(ClaimRequest request) {
		return replyWithoutHolder(request, ClaimVerdict.NOT_OWNER, 0);
	}

	private ClaimReply replyWithoutHolder(ClaimRequest request, ClaimVerdict verdict, long retryAfterMillis) {
		return new ClaimReply(request.requestId(), request.attemptId(), verdict, 0, Optional.empty(), Optional.empty(),
				Optional.empty(), retryAfterMillis);
	}

	/**
	 * Converts a response into its log record if it is small enough to store.
	 * @param completion the response of a claimed request
	 * @return the record, or empty if the response has no status or is too large
	 */
	Optional<ClaimCompleted> toStorableRecord(ClaimCompletion completion) {
		StoredResponse response = completion.response();
		if (response.status() == 0 || response.body().length > this.settings.maxStoredResponseBytes()) {
			return Optional.empty();
		}
		return Optional.of(new ClaimCompleted(completion.claimKey(), completion.attemptId(), response.status(),
				response.contentType(), response.body()));
	}

}
