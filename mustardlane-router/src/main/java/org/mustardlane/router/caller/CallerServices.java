package org.mustardlane.router.caller;

import java.util.function.BooleanSupplier;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;

import org.mustardlane.router.worker.RouterClock;

/**
 * What all connections of callers share.
 *
 * @param listener takes the requests
 * @param requestIds names the requests
 * @param limits what one connection may use
 * @param clock the time
 * @param closing whether connections are to be closed after the present response
 * @param open the responses that are being written
 */
record CallerServices(CallerListener listener, RequestIds requestIds, CallerLimits limits, RouterClock clock,
		BooleanSupplier closing, OpenResponses open) {

	/**
	 * Whether bytes have arrived since the last whole message.
	 */
	static final AttributeKey<Boolean> PARTIAL = AttributeKey.valueOf("mustardlane.partial");

	long nowMillis() {
		return this.clock.nowMillis();
	}

	boolean partialRequest(Channel channel) {
		return Boolean.TRUE.equals(channel.attr(PARTIAL).get());
	}

}
