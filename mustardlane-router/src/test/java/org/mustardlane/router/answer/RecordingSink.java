package org.mustardlane.router.answer;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Queue;

import org.mustardlane.core.model.execution.Refusal;

/**
 * Records a response. A sink that delays callbacks runs one only when the test calls
 * {@link #runNextCallback()}.
 */
final class RecordingSink implements ResponseSink {

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final Queue<Runnable> delayedCallbacks = new ArrayDeque<>();

	private final boolean delayCallbacks;

	private int headCount;

	private String outcome = "";

	RecordingSink(boolean delayCallbacks) {
		this.delayCallbacks = delayCallbacks;
	}

	@Override
	public void begin(ResponseHead head) {
		this.headCount++;
	}

	@Override
	public void write(byte[] part, Runnable onReady) {
		this.body.writeBytes(part);
		if (this.delayCallbacks) {
			this.delayedCallbacks.add(onReady);
		}
		else {
			onReady.run();
		}
	}

	@Override
	public boolean buffersUntilComplete(ResponseHead head) {
		return head.contentLengthBytes().isPresent();
	}

	@Override
	public void restart() {
		this.body.reset();
	}

	@Override
	public void finish() {
		this.outcome += "finished";
	}

	@Override
	public void abort(Refusal refusal) {
		this.outcome += "aborted";
	}

	void runNextCallback() {
		this.delayedCallbacks.remove().run();
	}

	String body() {
		return this.body.toString();
	}

	int headCount() {
		return this.headCount;
	}

	String outcome() {
		return this.outcome;
	}

}
