package org.mustardlane.router.exchange;

import org.mustardlane.core.event.JoinEnded;
import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;
import org.mustardlane.router.answer.AnswerHead;
import org.mustardlane.router.answer.AnswerReader;
import org.mustardlane.router.worker.EventSink;

/**
 * Passes the response of another request on to a request that joined it, and tells the
 * node how it ended.
 */
final class JoinedAnswer implements AnswerReader {

	/**
	 * Says that the joined request is not known.
	 */
	static final Refusal UNKNOWN_REQUEST = new Refusal(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE,
			"the request is not known", 0);

	private final RequestExchange exchange;

	private final EventSink events;

	JoinedAnswer(RequestExchange exchange, EventSink events) {
		this.exchange = exchange;
		this.events = events;
	}

	@Override
	public void begin(AnswerHead head) {
		this.exchange.relay().begin(head);
	}

	@Override
	public void write(byte[] part, Runnable ready) {
		this.exchange.relay().write(part, ready);
	}

	@Override
	public void finish() {
		end(true);
	}

	@Override
	public void abort(Refusal refusal) {
		end(false);
	}

	private void end(boolean complete) {
		this.events.submit(new JoinEnded(this.exchange.id(), complete, this.exchange.relay().deliveredBytes()));
	}

}
