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
final class StartingCall implements OpenCall {

	private static final int CHECK_MILLIS = 20;

	private final ExchangeServices services;

	private final Supplier<OpenCall> open;

	private final long untilMillis;

	private OpenCall opened = NoCall.INSTANCE;

	private boolean gone;

	/**
	 * Creates a call that does not wait yet.
	 * @param services what all calls share
	 * @param open opens the call
	 * @param untilMillis when to open it whether the routes are known or not
	 */
	StartingCall(ExchangeServices services, Supplier<OpenCall> open, long untilMillis) {
		this.services = services;
		this.open = open;
		this.untilMillis = untilMillis;
	}

	/**
	 * Waits, and opens the call afterwards.
	 */
	void start() {
		if (this.gone) {
			return;
		}
		if (this.services.knowledge().isComplete() || this.services.nowMillis() >= this.untilMillis) {
			this.opened = this.open.get();
			return;
		}
		this.services.loop().schedule(this::start, CHECK_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void callerGone() {
		this.gone = true;
		this.opened.callerGone();
	}

	@Override
	public void writabilityChanged(boolean writable) {
		this.opened.writabilityChanged(writable);
	}

}
