package org.mustardlane.proof.measure;

import java.util.Optional;

import org.mustardlane.proof.caller.CallResult;

/**
 * The result of one call of a trace.
 *
 * @param call the call
 * @param result the first result of the call
 * @param retry the result of the retry, if the call was refused and retried
 */
record CallSample(TimedCall call, CallResult result, Optional<CallResult> retry) {

	boolean isAnswered() {
		return this.result.isAnswered();
	}

	boolean isAnsweredWithin(long millis) {
		return isAnswered() && this.result.durationMicros() <= millis * 1000;
	}

}
