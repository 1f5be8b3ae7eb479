package org.mustardlane.router.answer;

import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;

/**
 * Feeds one joined sink from the copy of a response, at the pace of the sink.
 *
 * <p>
 * Thread-safe.
 */
final class SinkFeeder {

	/**
	 * Reason for aborting a joined sink whose response cannot be completed.
	 */
	static final Refusal JOIN_FAILED = new Refusal(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE,
			"the answer can not be joined", 0);

	private final ResponseRelay relay;

	private final ResponseSink sink;

	private boolean headPassed;

	private boolean waitingForSink;

	private boolean ended;

	private int positionBytes;

	SinkFeeder(ResponseRelay relay, ResponseSink sink) {
		this.relay = relay;
		this.sink = sink;
	}

	/**
	 * Passes on the available steps, at most up to the next part of the body.
	 */
	void feed() {
		FeedStep step = takeStep();
		while (step.kind() == FeedStep.Kind.BEGIN) {
			this.sink.begin(step.head());
			step = takeStep();
		}
		switch (step.kind()) {
			case PART -> this.sink.write(step.part(), this::onSinkReady);
			case FINISH -> this.sink.finish();
			case ABORT -> this.sink.abort(JOIN_FAILED);
			default -> {
			}
		}
	}

	private synchronized FeedStep takeStep() {
		if (this.waitingForSink || this.ended) {
			return FeedStep.await();
		}
		FeedStep step = this.relay.nextStep(this.headPassed, this.positionBytes);
		switch (step.kind()) {
			case BEGIN -> this.headPassed = true;
			case PART -> {
				this.waitingForSink = true;
				this.positionBytes += step.part().length;
			}
			case FINISH, ABORT -> {
				this.ended = true;
				this.relay.remove(this);
			}
			default -> {
			}
		}
		return step;
	}

	private void onSinkReady() {
		synchronized (this) {
			this.waitingForSink = false;
		}
		feed();
	}

}
