package org.mustardlane.router.answer;

import org.mustardlane.core.model.execution.Refusal;

/**
 * Stands for a reader that has gone: takes everything and does nothing with it.
 */
enum NoReader implements AnswerReader {

	/**
	 * The only instance.
	 */
	INSTANCE;

	@Override
	public void begin(AnswerHead head) {
	}

	@Override
	public void write(byte[] part, Runnable ready) {
		ready.run();
	}

	@Override
	public void finish() {
	}

	@Override
	public void abort(Refusal refusal) {
	}

}
