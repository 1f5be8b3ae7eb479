package org.mustardlane.router.caller;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.CallerRequest;

/**
 * Takes the requests of callers.
 */
public interface CallerListener {

	/**
	 * Takes a request that has arrived whole.
	 * @param requestId the request
	 * @param request the request
	 * @param payload its body
	 * @param response where the answer goes
	 */
	void requestArrived(RequestId requestId, CallerRequest request, RequestPayload payload, CallerResponse response);

	/**
	 * Is told that the caller of a request that has no final word yet has gone away.
	 * @param requestId the request
	 */
	void callerGone(RequestId requestId);

}
