package org.mustardlane.gateway.exchange;

import org.mustardlane.gateway.front.OpenCall;

/**
 * Placeholder for a call that has already ended; ignores all events.
 */
enum EndedCall implements OpenCall {

	/**
	 * The only instance.
	 */
	INSTANCE;

	@Override
	public void onCallerDisconnected() {
	}

	@Override
	public void onWritabilityChanged(boolean writable) {
	}

}
