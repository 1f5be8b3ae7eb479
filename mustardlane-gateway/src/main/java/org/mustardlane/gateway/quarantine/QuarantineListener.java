package org.mustardlane.gateway.quarantine;

import org.mustardlane.core.quarantine.Quarantine;

/**
 * Receives what other routers should know about calls that crash targets. Called on the
 * event loop of the daemon.
 */
public interface QuarantineListener {

	/**
	 * Called when this router has learnt of a lost call, a contradicting response or a
	 * quarantine.
	 */
	void onNews();

	/**
	 * Called when this router itself has decided on a quarantine.
	 * @param quarantine the quarantine
	 */
	void onDecision(Quarantine quarantine);

}
