package org.mustardlane.gateway.exchange;

import org.mustardlane.gateway.front.OpenCall;

/**
 * Stands for a call that has ended already.
 */
enum EndedCall implements OpenCall {

	/**
	 * The only one.
	 */
	INSTANCE;

	@Override
	public void callerDisconnected() {
	}

	@Override
	public void writabilityChanged(boolean writable) {
	}

}
