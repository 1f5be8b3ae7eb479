package org.mustardlane.router.caller;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.CallerRequest;
import org.mustardlane.router.answer.AnswerHead;

/**
 * Keeps requests for the test to answer.
 */
final class FakeListener implements CallerListener {

	private static final int PATIENCE_SECONDS = 30;

	private final BlockingQueue<Arrived> arrived = new LinkedBlockingQueue<>();

	private final List<RequestId> gone = new CopyOnWriteArrayList<>();

	@Override
	public void requestArrived(RequestId requestId, CallerRequest request, RequestPayload payload,
			CallerResponse response) {
		this.arrived.add(new Arrived(requestId, request, payload, response));
	}

	@Override
	public void callerGone(RequestId requestId) {
		this.gone.add(requestId);
	}

	Arrived take() throws InterruptedException {
		Arrived next = this.arrived.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
		if (next == null) {
			throw new AssertionError("no request has arrived");
		}
		return next;
	}

	boolean isEmpty() {
		return this.arrived.isEmpty();
	}

	List<RequestId> gone() {
		return this.gone;
	}

	/**
	 * A request that waits for its answer.
	 *
	 * @param requestId the request
	 * @param request the request
	 * @param payload its body
	 * @param response where the answer goes
	 */
	record Arrived(RequestId requestId, CallerRequest request, RequestPayload payload, CallerResponse response) {

		void answerWith(String body) {
			this.response.begin(new AnswerHead(200, "text/plain", OptionalLong.of(body.length())));
			this.response.write(body.getBytes(), () -> {
			});
			this.response.finish();
		}

	}

}
