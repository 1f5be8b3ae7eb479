package org.mustardlane.router.answer;

import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * Feeds one joined reader from the copy of an answer at the reader's own pace.
 *
 * <p>
 * Thread-safe.
 */
final class JoinedReader {

	/**
	 * Says that the answer will not come to its end.
	 */
	static final Refusal BROKEN = new Refusal(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE, "the answer can not be joined",
			0);

	private final AnswerRelay relay;

	private final AnswerReader reader;

	private boolean begun;

	private boolean busy;

	private boolean ended;

	private int position;

	JoinedReader(AnswerRelay relay, AnswerReader reader) {
		this.relay = relay;
		this.reader = reader;
	}

	/**
	 * Hands over what there is.
	 */
	void pump() {
		JoinStep step = take();
		while (step.kind() == JoinStep.Kind.BEGIN) {
			this.reader.begin(step.head());
			step = take();
		}
		switch (step.kind()) {
			case PART -> this.reader.write(step.part(), this::ready);
			case FINISH -> this.reader.finish();
			case BROKEN -> this.reader.abort(BROKEN);
			default -> {
			}
		}
	}

	private synchronized JoinStep take() {
		if (this.busy || this.ended) {
			return JoinStep.none();
		}
		JoinStep step = this.relay.next(this.begun, this.position);
		switch (step.kind()) {
			case BEGIN -> this.begun = true;
			case PART -> {
				this.busy = true;
				this.position += step.part().length;
			}
			case FINISH, BROKEN -> {
				this.ended = true;
				this.relay.left(this);
			}
			default -> {
			}
		}
		return step;
	}

	private void ready() {
		synchronized (this) {
			this.busy = false;
		}
		pump();
	}

}
