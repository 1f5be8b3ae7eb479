package org.mustardlane.standin.platform;

/**
 * The faults of the platform, set over HTTP.
 *
 * @param outage whether every call is refused with 503
 * @param silent whether no call is answered and none has an effect
 * @param slowMillis by how much every answer is late
 * @param refuseAppends how many of the next appends are refused
 * @param loseAppendAnswers how many of the next appends have their effect and no answer
 * @param lateAppends how many of the next appends have no answer and a late effect
 * @param lateAppendMillis by how much that effect is late
 * @param streamPrefix beginning of the names of the streams that the faults touch
 * @param vmListLagMillis by how much the list of VMs is late
 */
public record PlatformFaults(boolean outage, boolean silent, int slowMillis, int refuseAppends, int loseAppendAnswers,
		int lateAppends, int lateAppendMillis, String streamPrefix, int vmListLagMillis) {

	/**
	 * No faults at all.
	 */
	public static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0, 0, 0, 0, "", 0);

	boolean touches(String stream) {
		return stream.startsWith(this.streamPrefix);
	}

	PlatformFaults withOneRefusalLess() {
		return new PlatformFaults(this.outage, this.silent, this.slowMillis, this.refuseAppends - 1,
				this.loseAppendAnswers, this.lateAppends, this.lateAppendMillis, this.streamPrefix,
				this.vmListLagMillis);
	}

	PlatformFaults withOneLostAnswerLess() {
		return new PlatformFaults(this.outage, this.silent, this.slowMillis, this.refuseAppends,
				this.loseAppendAnswers - 1, this.lateAppends, this.lateAppendMillis, this.streamPrefix,
				this.vmListLagMillis);
	}

	PlatformFaults withOneLateAppendLess() {
		return new PlatformFaults(this.outage, this.silent, this.slowMillis, this.refuseAppends, this.loseAppendAnswers,
				this.lateAppends - 1, this.lateAppendMillis, this.streamPrefix, this.vmListLagMillis);
	}

}
