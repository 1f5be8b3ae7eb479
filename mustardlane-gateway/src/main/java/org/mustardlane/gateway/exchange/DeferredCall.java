package org.mustardlane.gateway.exchange;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.mustardlane.gateway.front.OpenCall;

/**
 * A call that arrived before the router knew the routes and that waits until it does, or
 * until the time for that is up.
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
	 * Creates a call that does not wait yet.
	 * @param context what all calls share
	 * @param opener opens the call
	 * @param deadlineMillis when to open it whether the routes are known or not
	 */
	DeferredCall(ExchangeContext context, Supplier<OpenCall> opener, long deadlineMillis) {
		this.context = context;
		this.opener = opener;
		this.deadlineMillis = deadlineMillis;
	}

	/**
	 * Waits, and opens the call afterwards.
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
	public void callerDisconnected() {
		this.callerDisconnected = true;
		this.openedCall.callerDisconnected();
	}

	@Override
	public void writabilityChanged(boolean writable) {
		this.openedCall.writabilityChanged(writable);
	}

}
