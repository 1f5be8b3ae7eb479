package org.mustardlane.router.peer;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.router.answer.AnswerReader;

/**
 * Finds the answers that this router produces.
 */
@FunctionalInterface
public interface LocalJoins {

	/**
	 * Lets a reader have an answer.
	 * @param requestId the request that the answer belongs to
	 * @param reader takes the answer
	 * @return whether the request is known
	 */
	boolean join(RequestId requestId, AnswerReader reader);

}
