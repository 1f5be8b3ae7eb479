package org.mustardlane.gateway.front;

/**
 * A call in progress, as its connection sees it.
 */
public interface OpenCall {

	/**
	 * The caller has closed its connection.
	 */
	void callerDisconnected();

	/**
	 * The caller takes bytes again, or does not.
	 * @param writable whether it does
	 */
	void writabilityChanged(boolean writable);

}
