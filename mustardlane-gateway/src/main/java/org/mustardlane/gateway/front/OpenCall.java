package org.mustardlane.gateway.front;

/**
 * A call in progress, which is notified of events of its caller's connection.
 */
public interface OpenCall {

	/**
	 * Called if the caller has closed its connection.
	 */
	void onCallerDisconnected();

	/**
	 * Called if the caller becomes ready, or stops being ready, to receive more of the
	 * response.
	 * @param writable true if more can be written
	 */
	void onWritabilityChanged(boolean writable);

}
