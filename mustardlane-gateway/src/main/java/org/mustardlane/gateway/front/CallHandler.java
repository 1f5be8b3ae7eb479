package org.mustardlane.gateway.front;

import java.util.Optional;

import org.mustardlane.gateway.wire.CallHead;

/**
 * Takes calls; used on the event loop of the daemon.
 */
public interface CallHandler {

	/**
	 * Checks a head before its body is read.
	 * @param head the head
	 * @return why the call is refused, or empty where its body may come
	 */
	Optional<Rejection> checkHead(CallHead head);

	/**
	 * Takes a call whose body has arrived.
	 * @param call the call
	 * @param caller the way back
	 * @return the call in progress
	 */
	OpenCall open(Call call, CallerChannel caller);

}
