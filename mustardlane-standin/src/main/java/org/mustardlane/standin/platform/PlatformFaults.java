package org.mustardlane.standin.platform;

/**
 * Faults that one view of the fake platform injects, set over HTTP.
 *
 * @param outage whether each request of a router gets status 503
 * @param silent whether requests of routers get no response and have no effect
 * @param slowMillis delay of each request before it is handled, in milliseconds
 * @param refuseAppends number of further appends that get status 503
 * @param loseAppendAnswers number of further appends that take effect without a response
 * @param lateAppends number of further appends that get no response and take effect late
 * @param lateAppendMillis delay of such a late append in milliseconds
 * @param streamPrefix prefix of the names of the streams whose appends are affected
 * @param vmListLagMillis age of the served list of VMs in milliseconds
 */
public record PlatformFaults(boolean outage, boolean silent, int slowMillis, int refuseAppends, int loseAppendAnswers,
		int lateAppends, int lateAppendMillis, String streamPrefix, int vmListLagMillis) {

	/**
	 * Injects no faults.
	 */
	public static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0, 0, 0, 0, "", 0);

	boolean affects(String streamName) {
		return streamName.startsWith(this.streamPrefix);
	}

	PlatformFaults afterRefusedAppend() {
		return new PlatformFaults(this.outage, this.silent, this.slowMillis, this.refuseAppends - 1,
				this.loseAppendAnswers, this.lateAppends, this.lateAppendMillis, this.streamPrefix,
				this.vmListLagMillis);
	}

	PlatformFaults afterLostResponse() {
		return new PlatformFaults(this.outage, this.silent, this.slowMillis, this.refuseAppends,
				this.loseAppendAnswers - 1, this.lateAppends, this.lateAppendMillis, this.streamPrefix,
				this.vmListLagMillis);
	}

	PlatformFaults afterLateAppend() {
		return new PlatformFaults(this.outage, this.silent, this.slowMillis, this.refuseAppends, this.loseAppendAnswers,
				this.lateAppends - 1, this.lateAppendMillis, this.streamPrefix, this.vmListLagMillis);
	}

}
