package org.mustardlane.router.exchange;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.router.answer.AnswerReader;

/**
 * Fetches answers from other routers.
 */
@FunctionalInterface
public interface RemoteJoins {

	/**
	 * Fetches an answer; the reader is always ended, whole or broken.
	 * @param holder the router that produces the answer
	 * @param requestId the request it belongs to
	 * @param reader takes the answer
	 */
	void join(VmId holder, RequestId requestId, AnswerReader reader);

}
