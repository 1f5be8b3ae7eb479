package org.mustardlane.router.caller;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.CallerRequest;

/**
 * Receives the requests of callers.
 */
public interface CallerListener {

	/**
	 * Called when a request has arrived completely.
	 * @param requestId id of the request
	 * @param request head of the request, with digest and size of the body
	 * @param payload body of the request
	 * @param response receives the response
	 */
	void requestArrived(RequestId requestId, CallerRequest request, RequestPayload payload, CallerResponse response);

	/**
	 * Called when the caller will not receive the response to a request, for example
	 * because the caller has closed the connection before the response ended.
	 * @param requestId id of the request
	 */
	void requestCancelled(RequestId requestId);

}
