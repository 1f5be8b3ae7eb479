package org.mustardlane.gateway.exchange;

import java.util.Optional;
import java.util.function.Function;

import org.mustardlane.core.stream.PoolVersion;
import org.mustardlane.gateway.front.EndedCall;
import org.mustardlane.gateway.front.OpenCall;

/**
 * A call that takes up a stream, from its arrival until the software version is known at
 * which the stream may go on.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class ResumedCall implements OpenCall {

	private final Function<Optional<PoolVersion>, OpenCall> opener;

	private OpenCall openedCall = EndedCall.INSTANCE;

	private boolean callerDisconnected;

	/**
	 * Creates a call that waits for the version.
	 * @param opener opens the call at a version, or refuses it if there is none
	 */
	ResumedCall(Function<Optional<PoolVersion>, OpenCall> opener) {
		this.opener = opener;
	}

	/**
	 * Opens the call unless its caller has left.
	 * @param origin version at which the stream may go on, empty if it is not known
	 */
	void open(Optional<PoolVersion> origin) {
		if (!this.callerDisconnected) {
			this.openedCall = this.opener.apply(origin);
		}
	}

	@Override
	public void onCallerDisconnected() {
		this.callerDisconnected = true;
		this.openedCall.onCallerDisconnected();
	}

	@Override
	public void onWritabilityChanged(boolean writable) {
		this.openedCall.onWritabilityChanged(writable);
	}

}
