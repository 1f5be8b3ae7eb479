package org.mustardlane.proof.deployment;

import org.mustardlane.core.placement.SharedPrefix;

/**
 * One call of a simulated load.
 *
 * @param atMillis the arrival time in simulated milliseconds
 * @param kind the type of the call
 * @param prefix the prompt prefix that other calls share
 * @param router the index of the router that receives the call
 */
public record ModelCall(double atMillis, CallKind kind, SharedPrefix prefix, int router) {

	/**
	 * Returns the number of tokens that the call occupies in the memory of an engine.
	 * @return the number of tokens
	 */
	long tokens() {
		return (long) this.kind.sharedTokens() + this.kind.ownTokens() + this.kind.outputTokens();
	}

}
