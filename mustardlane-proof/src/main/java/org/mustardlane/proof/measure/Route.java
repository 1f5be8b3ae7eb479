package org.mustardlane.proof.measure;

import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;

import org.mustardlane.proof.caller.CallResult;

/**
 * A way for calls to reach an engine.
 */
interface Route {

	/**
	 * Sends a call.
	 * @param call the call
	 * @param progress is told after each part how many bytes have arrived
	 * @return what will have arrived
	 */
	CompletableFuture<CallResult> send(TimedCall call, IntConsumer progress);

	/**
	 * Takes an engine out or in.
	 * @param engine its name
	 * @param isLeaving whether it leaves
	 */
	default void leave(String engine, boolean isLeaving) {
	}

}
