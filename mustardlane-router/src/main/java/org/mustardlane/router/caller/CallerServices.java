package org.mustardlane.router.caller;

import java.util.function.BooleanSupplier;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;

import org.mustardlane.router.worker.RouterClock;

/**
 * Objects that all connections of callers share.
 *
 * @param listener receives the requests
 * @param requestIdGenerator generates the ids of the requests
 * @param limits limits of the connections
 * @param clock supplies the arrival times of the requests
 * @param closeAfterResponse whether connections are to be closed after the current
 * response
 * @param openResponses counts the responses that have not been written completely
 */
record CallerServices(CallerListener listener, RequestIdGenerator requestIdGenerator, CallerLimits limits,
		RouterClock clock, BooleanSupplier closeAfterResponse, OpenResponses openResponses) {

	/**
	 * Channel attribute: whether bytes have arrived since the last decoded message.
	 */
	static final AttributeKey<Boolean> PARTIAL_REQUEST = AttributeKey.valueOf("mustardlane.partial");

	long nowMillis() {
		return this.clock.nowMillis();
	}

	boolean hasPartialRequest(Channel channel) {
		return Boolean.TRUE.equals(channel.attr(PARTIAL_REQUEST).get());
	}

}
