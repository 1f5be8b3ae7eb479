package org.mustardlane.proof.measure;

import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;

import org.mustardlane.proof.caller.CallResult;

/**
 * Sends calls to engines, either directly or through routers.
 */
interface CallSender {

	/**
	 * Sends a call without waiting for its result.
	 * @param call the call
	 * @param progress receives the number of body bytes so far after each body part
	 * @return a future of the result
	 */
	CompletableFuture<CallResult> send(TimedCall call, IntConsumer progress);

	/**
	 * Marks an engine as leaving or present. Does nothing by default, since routers read
	 * the state of engines themselves.
	 * @param engine the name of the engine
	 * @param isLeaving whether the engine is leaving
	 */
	default void setLeaving(String engine, boolean isLeaving) {
	}

}
