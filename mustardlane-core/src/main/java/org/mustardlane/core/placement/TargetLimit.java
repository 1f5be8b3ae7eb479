package org.mustardlane.core.placement;

import java.util.OptionalDouble;

/**
 * What a target last reported about the number of requests that it accepts.
 *
 * @param perSecond requests per second from all routers together, empty without a limit
 * @param reportedAtMillis time at which a router received the report
 */
public record TargetLimit(OptionalDouble perSecond, long reportedAtMillis) {

	/**
	 * Stands for a target that has never reported a limit.
	 */
	public static final TargetLimit NONE = new TargetLimit(OptionalDouble.empty(), Long.MIN_VALUE / 2);

	/**
	 * Returns whether the target has a limit.
	 * @return true if it has
	 */
	public boolean isLimited() {
		return this.perSecond.isPresent();
	}

	/**
	 * Returns the limit for a log line.
	 * @return the requests per second, empty without a limit
	 */
	public String toLogText() {
		return isLimited() ? Double.toString(this.perSecond.getAsDouble()) : "";
	}

}
