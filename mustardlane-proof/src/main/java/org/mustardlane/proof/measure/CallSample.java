package org.mustardlane.proof.measure;

import java.util.Optional;

import org.mustardlane.proof.caller.CallResult;

/**
 * What became of a call of a trace.
 *
 * @param call the call
 * @param result what its caller got
 * @param retry what its caller got when it came again after a refusal
 */
record CallSample(TimedCall call, CallResult result, Optional<CallResult> retry) {

	boolean isAnswered() {
		return this.result.isAnswered();
	}

	boolean isAnsweredWithin(long millis) {
		return isAnswered() && this.result.totalMicros() <= millis * 1000;
	}

}
