package org.mustardlane.standin.target;

/**
 * Faults that a fake target injects, set over HTTP.
 *
 * @param slowFactor factor by which each processing time is multiplied
 * @param frozen whether the target makes no progress and sends no response, except for
 * the test interface
 * @param stallAfterFirstToken whether a generation stops after its first token
 * @param breakAfterBytes number of response bytes after which the connection is closed,
 * -1 for never
 * @param shortAnswer whether the last byte of a response is left out; the end of a
 * chunked response still looks regular
 * @param wrongEcho whether the response carries the id of another request
 * @param loseAnswer whether the connection is closed without a response after the request
 * took effect
 * @param refuse whether a request is rejected with status 503 before it starts
 * @param resetConnections whether the connection is reset before the request starts
 * @param leaving whether the target reports that it is about to leave
 * @param silentLoad whether requests for the load report get no response
 * @param times number of further requests that the faults of single requests affect, -1
 * for all; only {@code slowFactor}, {@code frozen}, {@code leaving} and
 * {@code silentLoad} stay in force after that
 */
public record TargetFaults(double slowFactor, boolean frozen, boolean stallAfterFirstToken, int breakAfterBytes,
		boolean shortAnswer, boolean wrongEcho, boolean loseAnswer, boolean refuse, boolean resetConnections,
		boolean leaving, boolean silentLoad, int times) {

	/**
	 * Injects no faults.
	 */
	public static final TargetFaults NONE = new TargetFaults(1, false, false, -1, false, false, false, false, false,
			false, false, -1);

	/**
	 * Returns the faults for later requests, after one request was affected.
	 * @return the remaining faults
	 */
	TargetFaults afterRequest() {
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
