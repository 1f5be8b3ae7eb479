package org.mustardlane.proof.deployment;

import org.mustardlane.core.placement.SharedPrefix;

/**
 * One call of a simulated load.
 *
 * @param arrivalMillis the arrival time in simulated milliseconds
 * @param type the type of the call
 * @param prefix the prompt prefix that other calls share
 * @param routerIndex the index of the router that receives the call
 */
public record SimulatedCall(double arrivalMillis, CallType type, SharedPrefix prefix, int routerIndex) {

	/**
	 * Returns the number of tokens that the call occupies in the memory of an engine.
	 * @return the number of tokens
	 */
	long totalTokens() {
		return (long) this.type.sharedTokens() + this.type.uniqueTokens() + this.type.outputTokens();
	}

}
