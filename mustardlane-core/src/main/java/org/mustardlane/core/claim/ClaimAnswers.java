package org.mustardlane.core.claim;

import java.util.Optional;

import org.mustardlane.core.message.ClaimAnswer;
import org.mustardlane.core.message.ClaimAsk;
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.message.StoredAnswer;
import org.mustardlane.core.model.common.Rendezvous;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;

/**
 * Words the answers to asks.
 *
 * <p>
 * Immutable and thread-safe.
 */
final class ClaimAnswers {

	private final ClaimSettings settings;

	/**
	 * Creates the writer of answers.
	 * @param settings limits and times
	 */
	ClaimAnswers(ClaimSettings settings) {
		this.settings = settings;
	}

	/**
	 * Says that the ask's own claim holds the key.
	 * @param ask the ask
	 * @param holder the claim
	 * @return the answer, with the offset of the claim as fencing number
	 */
	ClaimAnswer held(ClaimAsk ask, LoggedFact<ClaimMade> holder) {
		return answer(ask, ClaimVerdict.HELD, holder, Optional.empty());
	}

	/**
	 * Says that another claim holds the key.
	 * @param ask the ask
	 * @param verdict whether the bodies are alike
	 * @param holder the other claim
	 * @return the answer
	 */
	ClaimAnswer other(ClaimAsk ask, ClaimVerdict verdict, LoggedFact<ClaimMade> holder) {
		return answer(ask, verdict, holder, Optional.empty());
	}

	/**
	 * Gives the kept answer of the claim that holds the key.
	 * @param ask the ask
	 * @param holder the claim
	 * @param stored its answer
	 * @return the answer
	 */
	ClaimAnswer completed(ClaimAsk ask, LoggedFact<ClaimMade> holder, ClaimCompleted stored) {
		StoredAnswer answer = new StoredAnswer(stored.status(), stored.contentType(), stored.body());
		return answer(ask, ClaimVerdict.COMPLETED, holder, Optional.of(answer));
	}

	private ClaimAnswer answer(ClaimAsk ask, ClaimVerdict verdict, LoggedFact<ClaimMade> holder,
			Optional<StoredAnswer> answer) {
		VmId vm = new VmId(holder.fact().vm());
		RequestId requestId = new RequestId(holder.fact().requestId());
		return new ClaimAnswer(ask.requestId(), ask.attemptId(), verdict, holder.offset(), Optional.of(vm),
				Optional.of(requestId), answer, 0);
	}

	/**
	 * Says that this claim will not run.
	 * @param ask the ask
	 * @param waitMillis when the partition can decide again, 0 where that is not known
	 * @return the answer; the times to come back are spread over the asks
	 */
	ClaimAnswer unavailable(ClaimAsk ask, long waitMillis) {
		long leastMillis = Math.max(waitMillis, this.settings.retryAfterMillis());
		long spreadMillis = Long.remainderUnsigned(Rendezvous.hash(ask.attemptId()), leastMillis);
		return without(ask, ClaimVerdict.UNAVAILABLE, leastMillis + spreadMillis);
	}

	/**
	 * Says that this router does not own the partition.
	 * @param ask the ask
	 * @return the answer
	 */
	ClaimAnswer notOwner(ClaimAsk ask) {
		return without(ask, ClaimVerdict.NOT_OWNER, 0);
	}

	private ClaimAnswer without(ClaimAsk ask, ClaimVerdict verdict, long retryAfterMillis) {
		return new ClaimAnswer(ask.requestId(), ask.attemptId(), verdict, 0, Optional.empty(), Optional.empty(),
				Optional.empty(), retryAfterMillis);
	}

	/**
	 * Returns the record of an answer that is small enough to keep.
	 * @param completion the answer
	 * @return the record, or empty where the answer is not kept
	 */
	Optional<ClaimCompleted> stored(ClaimCompletion completion) {
		StoredAnswer answer = completion.answer();
		if (answer.status() == 0 || answer.body().length > this.settings.storedAnswerBytes()) {
			return Optional.empty();
		}
		return Optional.of(new ClaimCompleted(completion.claimKey(), completion.attemptId(), answer.status(),
				answer.contentType(), answer.body()));
	}

}
