package org.mustardlane.gateway.front;

/**
 * Placeholder for a call that has already ended; ignores all events.
 */
public enum EndedCall implements OpenCall {

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
