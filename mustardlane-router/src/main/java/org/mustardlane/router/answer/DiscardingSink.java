package org.mustardlane.router.answer;

import org.mustardlane.core.model.execution.Refusal;

/**
 * Discards a response; replaces the sink of a caller that has been released.
 */
enum DiscardingSink implements ResponseSink {

	/**
	 * The only instance.
	 */
	INSTANCE;

	@Override
	public void begin(ResponseHead head) {
	}

	@Override
	public void write(byte[] part, Runnable onReady) {
		onReady.run();
	}

	@Override
	public void finish() {
	}

	@Override
	public void abort(Refusal refusal) {
	}

}
