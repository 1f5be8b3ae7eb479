package org.mustardlane.router.answer;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Queue;

import org.mustardlane.core.model.execution.Refusal;

/**
 * Keeps an answer and says when it takes the next part.
 */
final class RecordingReader implements AnswerReader {

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final Queue<Runnable> held = new ArrayDeque<>();

	private final boolean holdBack;

	private int heads;

	private String end = "";

	RecordingReader(boolean holdBack) {
		this.holdBack = holdBack;
	}

	@Override
	public void begin(AnswerHead head) {
		this.heads++;
	}

	@Override
	public void write(byte[] part, Runnable ready) {
		this.body.writeBytes(part);
		if (this.holdBack) {
			this.held.add(ready);
		}
		else {
			ready.run();
		}
	}

	@Override
	public boolean holds(AnswerHead head) {
		return head.contentLengthBytes().isPresent();
	}

	@Override
	public void restart() {
		this.body.reset();
	}

	@Override
	public void finish() {
		this.end += "finished";
	}

	@Override
	public void abort(Refusal refusal) {
		this.end += "aborted";
	}

	void letOneGo() {
		this.held.remove().run();
	}

	String body() {
		return this.body.toString();
	}

	int heads() {
		return this.heads;
	}

	String end() {
		return this.end;
	}

}
