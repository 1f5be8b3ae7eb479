package org.mustardlane.router.peer;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.router.answer.ResponseSink;

/**
 * Gives access to the responses to requests that this router runs.
 */
@FunctionalInterface
public interface LocalResponses {

	/**
	 * Adds a sink to the response to a request.
	 * @param requestId the request
	 * @param sink receives the response
	 * @return whether this router runs the request
	 */
	boolean joinResponse(RequestId requestId, ResponseSink sink);

}
