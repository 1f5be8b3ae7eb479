package org.mustardlane.router.caller;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.CallerRequest;
import org.mustardlane.router.answer.ResponseHead;

/**
 * Collects requests, to which the test responds.
 */
final class FakeListener implements CallerListener {

	private static final int TIMEOUT_SECONDS = 30;

	private final BlockingQueue<ArrivedRequest> requests = new LinkedBlockingQueue<>();

	private final List<RequestId> cancelled = new CopyOnWriteArrayList<>();

	@Override
	public void requestArrived(RequestId requestId, CallerRequest request, RequestPayload payload,
			CallerResponse response) {
		this.requests.add(new ArrivedRequest(requestId, request, payload, response));
	}

	@Override
	public void requestCancelled(RequestId requestId) {
		this.cancelled.add(requestId);
	}

	ArrivedRequest take() throws InterruptedException {
		ArrivedRequest next = this.requests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		if (next == null) {
			throw new AssertionError("no request has arrived");
		}
		return next;
	}

	boolean isEmpty() {
		return this.requests.isEmpty();
	}

	List<RequestId> cancelledRequests() {
		return this.cancelled;
	}

	/**
	 * A request that waits for its response.
	 *
	 * @param requestId id of the request
	 * @param request head of the request
	 * @param payload body of the request
	 * @param response receives the response
	 */
	record ArrivedRequest(RequestId requestId, CallerRequest request, RequestPayload payload, CallerResponse response) {

		void respondWith(String body) {
			this.response.begin(new ResponseHead(200, "text/plain", OptionalLong.of(body.length())));
			this.response.write(body.getBytes(), () -> {
			});
			this.response.finish();
		}

	}

}
