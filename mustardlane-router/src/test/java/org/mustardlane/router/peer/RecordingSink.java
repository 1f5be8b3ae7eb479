package org.mustardlane.router.peer;

import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.router.answer.ResponseHead;
import org.mustardlane.router.answer.ResponseSink;

/**
 * Records the calls it receives as text.
 */
final class RecordingSink implements ResponseSink {

	private final StringBuffer log = new StringBuffer();

	@Override
	public void begin(ResponseHead head) {
		this.log.append("begin ").append(head.status()).append(' ').append(head.contentType()).append(' ');
	}

	@Override
	public void write(byte[] part, Runnable onReady) {
		this.log.append(new String(part));
		onReady.run();
	}

	@Override
	public void finish() {
		this.log.append(" finish");
	}

	@Override
	public void abort(Refusal refusal) {
		this.log.append("abort");
	}

	String log() {
		return this.log.toString();
	}

}
