package org.mustardlane.gateway.front;

/**
 * Memory limits for the connections of callers.
 *
 * @param maxHeaderBytes maximum size of a request head, which applies even before routes
 * with their own limits are loaded
 * @param maxBufferedBodyBytes maximum size of all buffered bodies of all connections
 * together
 */
public record FrontSettings(int maxHeaderBytes, long maxBufferedBodyBytes) {

	/**
	 * Bodies may occupy a fifth of the heap. Each body is copied once while it is
	 * forwarded; the rest of the heap is for all other data.
	 */
	private static final int BODY_MEMORY_DIVISOR = 5;

	/**
	 * Creates settings whose limit for bodies follows from the heap.
	 * @param maxHeaderBytes maximum size of a request head
	 * @return the settings
	 */
	public static FrontSettings withHeaders(int maxHeaderBytes) {
		return new FrontSettings(maxHeaderBytes, Runtime.getRuntime().maxMemory() / BODY_MEMORY_DIVISOR);
	}

}
