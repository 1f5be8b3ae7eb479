package org.mustardlane.router.exchange;

import org.mustardlane.core.event.JoinEnded;
import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;
import org.mustardlane.router.answer.ResponseHead;
import org.mustardlane.router.answer.ResponseSink;
import org.mustardlane.router.worker.EventSink;

/**
 * Passes the response of another request on to a request that joined it, and reports the
 * end of the response to the node.
 */
final class JoinSink implements ResponseSink {

	/**
	 * Reason for aborting a join of a request that this router does not know.
	 */
	static final Refusal UNKNOWN_REQUEST = new Refusal(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE,
			"the request is not known", 0);

	private final RequestExchange exchange;

	private final EventSink events;

	JoinSink(RequestExchange exchange, EventSink events) {
		this.exchange = exchange;
		this.events = events;
	}

	@Override
	public void begin(ResponseHead head) {
		this.exchange.relay().begin(head);
	}

	@Override
	public void write(byte[] part, Runnable onReady) {
		this.exchange.relay().write(part, onReady);
	}

	@Override
	public void finish() {
		submitEnd(true);
	}

	@Override
	public void abort(Refusal refusal) {
		submitEnd(false);
	}

	private void submitEnd(boolean complete) {
		this.events.submit(new JoinEnded(this.exchange.id(), complete, this.exchange.relay().deliveredBytes()));
	}

}
