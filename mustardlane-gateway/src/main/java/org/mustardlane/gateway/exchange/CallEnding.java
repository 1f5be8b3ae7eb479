package org.mustardlane.gateway.exchange;

import io.netty.handler.codec.http.HttpResponseStatus;

import org.mustardlane.gateway.front.CallerChannel;
import org.mustardlane.gateway.front.Rejection;
import org.mustardlane.gateway.report.CallOutcome;

/**
 * Ends one call that gets no complete response from a target. Only a call that no attempt
 * may have executed is refused with the promise that it has not run.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class CallEnding {

	private final ExchangeContext context;

	private final CallerChannel caller;

	private final ResponseSink responseSink;

	private final CallAttempts attempts;

	private final Listener listener;

	CallEnding(ExchangeContext context, CallerChannel caller, ResponseSink responseSink, CallAttempts attempts,
			Listener listener) {
		this.context = context;
		this.caller = caller;
		this.responseSink = responseSink;
		this.attempts = attempts;
		this.listener = listener;
	}

	/**
	 * Ends the call because nothing more can be done for it.
	 * @param detail the reason
	 * @param retryAfterMillis delay after which a refused caller should retry
	 */
	void giveUp(String detail, long retryAfterMillis) {
		if (this.responseSink.isStarted()) {
			this.listener.onEnd(CallOutcome.BROKEN_OFF, 0, detail);
			this.caller.abort();
		}
		else if (this.attempts.mayHaveExecuted()) {
			fail(HttpResponseStatus.BAD_GATEWAY, detail);
		}
		else {
			refuse(detail, CallOutcome.REFUSED, retryAfterMillis);
		}
	}

	/**
	 * Ends the call because its time is up.
	 * @param attemptSent whether an attempt was sent that has not ended
	 */
	void expire(boolean attemptSent) {
		String detail = "The time is up";
		if (this.responseSink.isStarted()) {
			giveUp(detail, 0);
		}
		else if (attemptSent || this.attempts.mayHaveExecuted()) {
			fail(HttpResponseStatus.GATEWAY_TIMEOUT, detail);
		}
		else {
			refuse(detail, CallOutcome.EXPIRED, refusalDelayMillis());
		}
	}

	/**
	 * Returns the delay after which a refused caller should retry if nothing else is
	 * known.
	 * @return the delay in milliseconds
	 */
	long refusalDelayMillis() {
		return RetryAfter.refusalDelayMillis(this.context.nextRandom());
	}

	private void refuse(String detail, CallOutcome outcome, long retryAfterMillis) {
		Rejection rejection = Rejection.temporary(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), detail,
				retryAfterMillis);
		this.listener.onEnd(outcome, rejection.status(), detail);
		this.caller.reject(rejection);
	}

	/**
	 * Ends the call with an error after which it may have been executed.
	 * @param status the HTTP status
	 * @param detail the reason
	 */
	void fail(HttpResponseStatus status, String detail) {
		this.listener.onEnd(CallOutcome.FAILED, status.code(), detail);
		this.caller.reject(Rejection.permanent(status.code(), detail));
	}

	/**
	 * Is told the outcome before the caller is.
	 */
	interface Listener {

		/**
		 * Called once the outcome is known.
		 * @param outcome the outcome
		 * @param status the HTTP status, 0 for none
		 * @param detail the reason
		 */
		void onEnd(CallOutcome outcome, int status, String detail);

	}

}
