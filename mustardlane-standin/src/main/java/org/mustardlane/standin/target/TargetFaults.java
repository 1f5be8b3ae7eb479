package org.mustardlane.standin.target;

/**
 * The faults of a target, set over HTTP.
 *
 * @param slowFactor by what every time is multiplied
 * @param frozen whether nothing goes on
 * @param stallAfterFirstToken whether an answer stops after its first token
 * @param breakAfterBytes after how many bytes of an answer the connection is reset, -1
 * for never
 * @param shortAnswer whether the last part of an answer is missing while its end looks
 * regular
 * @param wrongEcho whether the request id in the answer is of another request
 * @param loseAnswer whether the connection is closed after the effect, without a byte
 * @param refuse whether a request is refused before it starts
 * @param resetConnections whether each connection is reset before the request starts
 * @param leaving whether the target is about to leave
 * @param silentLoad whether the load report is not answered
 * @param times how many requests meet stall, break, short answer, wrong echo, loss or
 * refusal, -1 for all
 */
public record TargetFaults(double slowFactor, boolean frozen, boolean stallAfterFirstToken, int breakAfterBytes,
		boolean shortAnswer, boolean wrongEcho, boolean loseAnswer, boolean refuse, boolean resetConnections,
		boolean leaving, boolean silentLoad, int times) {

	/**
	 * No faults at all.
	 */
	public static final TargetFaults NONE = new TargetFaults(1, false, false, -1, false, false, false, false, false,
			false, false, -1);

	/**
	 * Returns what is left of the faults after one more request has met them.
	 * @return the faults of the next request
	 */
	TargetFaults afterOneRequest() {
		if (this.times < 0) {
			return this;
		}
		if (this.times <= 1) {
			return new TargetFaults(this.slowFactor, this.frozen, false, -1, false, false, false, false, false,
					this.leaving, this.silentLoad, -1);
		}
		return new TargetFaults(this.slowFactor, this.frozen, this.stallAfterFirstToken, this.breakAfterBytes,
				this.shortAnswer, this.wrongEcho, this.loseAnswer, this.refuse, this.resetConnections, this.leaving,
				this.silentLoad, this.times - 1);
	}

}
