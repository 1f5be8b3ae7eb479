package org.mustardlane.gateway.exchange;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.mustardlane.gateway.front.EndedCall;
import org.mustardlane.gateway.front.OpenCall;

/**
 * A call that arrived before the router has loaded its routes. The call is opened once
 * the routes are loaded, or at a deadline.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class DeferredCall implements OpenCall {

	private static final int CHECK_INTERVAL_MILLIS = 20;

	private final ExchangeContext context;

	private final Supplier<OpenCall> opener;

	private final long deadlineMillis;

	private OpenCall openedCall = EndedCall.INSTANCE;

	private boolean callerDisconnected;

	/**
	 * Creates a deferred call that does not wait yet.
	 * @param context state shared by all calls
	 * @param opener opens the call
	 * @param deadlineMillis time at which the call is opened even if the routes are not
	 * loaded
	 */
	DeferredCall(ExchangeContext context, Supplier<OpenCall> opener, long deadlineMillis) {
		this.context = context;
		this.opener = opener;
		this.deadlineMillis = deadlineMillis;
	}

	/**
	 * Opens the call if the routes are loaded or the deadline has passed; otherwise
	 * checks again after an interval.
	 */
	void openWhenReady() {
		if (this.callerDisconnected) {
			return;
		}
		if (this.context.routingState().isComplete() || this.context.nowMillis() >= this.deadlineMillis) {
			this.openedCall = this.opener.get();
			return;
		}
		this.context.loop().schedule(this::openWhenReady, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
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
