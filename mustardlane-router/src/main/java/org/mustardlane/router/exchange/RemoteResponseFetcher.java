package org.mustardlane.router.exchange;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.router.answer.ResponseSink;

/**
 * Fetches responses from other routers.
 */
@FunctionalInterface
public interface RemoteResponseFetcher {

	/**
	 * Fetches the response of a request. The sink is always finished or aborted in the
	 * end.
	 * @param holder the router that handles the request
	 * @param requestId id of the request
	 * @param sink receives the response
	 */
	void fetch(VmId holder, RequestId requestId, ResponseSink sink);

}
