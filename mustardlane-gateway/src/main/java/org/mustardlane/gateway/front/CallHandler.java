package org.mustardlane.gateway.front;

import java.util.Optional;

import org.mustardlane.gateway.wire.CallHead;

/**
 * Handles the calls of callers, on the event loop of the daemon.
 */
public interface CallHandler {

	/**
	 * Checks the head of a call before its body is read.
	 * @param head head of the call
	 * @return the rejection, or empty if the body is to be read
	 */
	Optional<Rejection> checkHead(CallHead head);

	/**
	 * Opens a call whose body has arrived.
	 * @param call the call
	 * @param caller channel for the response
	 * @return the call in progress
	 */
	OpenCall open(Call call, CallerChannel caller);

}
