package org.mustardlane.proof.deployment;

import org.mustardlane.core.placement.SharedPrefix;

/**
 * One call of the load.
 *
 * @param atMillis when it arrives
 * @param kind what it asks for
 * @param prefix the part of its prompt that others share
 * @param router which router it reaches, counted from 0
 */
public record ModelCall(double atMillis, CallKind kind, SharedPrefix prefix, int router) {

	/**
	 * Returns the tokens that it takes in an engine's memory.
	 * @return the number
	 */
	long tokens() {
		return (long) this.kind.sharedTokens() + this.kind.ownTokens() + this.kind.outputTokens();
	}

}
