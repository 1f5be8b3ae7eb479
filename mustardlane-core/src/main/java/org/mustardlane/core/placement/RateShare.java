package org.mustardlane.core.placement;

/**
 * The share of one router in the rate that a target accepts from all routers together.
 *
 * <p>
 * The rate is dealt out request by request to the routers in turn, without messages
 * between them: each router may send one request in each of its turns, and its first turn
 * depends on its rank. A permit that is not used soon after its turn is lost, so that
 * idle routers do not all save permits for the same moment. Not thread-safe.
 */
final class RateShare {

	/**
	 * Longer than the usual time between two requests of one router, so that few permits
	 * are lost.
	 */
	private static final int PERMIT_VALIDITY_MILLIS = 2000;

	/**
	 * Without any request the routers would not learn that the limit has ended.
	 */
	private static final double MIN_PER_SECOND = 0.25;

	private static final double MILLIS_PER_SECOND = 1000;

	private double routers;

	private double perMillis;

	/**
	 * Number of turns so far. The fraction is the progress to the next turn.
	 */
	private double turns;

	private double usedTurns;

	private long updatedAtMillis;

	/**
	 * Creates the share of a router.
	 * @param position the router
	 * @param perSecond requests per second that the target accepts
	 * @param nowMillis the current time
	 */
	RateShare(FleetPosition position, double perSecond, long nowMillis) {
		this.routers = position.routers();
		this.turns = position.rank() / this.routers;
		this.perMillis = perMillis(perSecond);
		this.updatedAtMillis = nowMillis;
	}

	private double perMillis(double perSecond) {
		return Math.max(MIN_PER_SECOND, perSecond) / this.routers / MILLIS_PER_SECOND;
	}

	/**
	 * Changes the rate.
	 * @param position the router
	 * @param perSecond requests per second that the target accepts
	 * @param nowMillis the current time
	 */
	void setRate(FleetPosition position, double perSecond, long nowMillis) {
		advance(nowMillis);
		this.routers = position.routers();
		this.perMillis = perMillis(perSecond);
	}

	private void advance(long nowMillis) {
		// A report that was relayed is older than the newest use of a permit.
		long elapsedMillis = Math.max(0, nowMillis - this.updatedAtMillis);
		this.turns += this.perMillis * elapsedMillis;
		this.updatedAtMillis += elapsedMillis;
		double expiredTurns = Math.floor(this.turns - this.perMillis * PERMIT_VALIDITY_MILLIS);
		this.usedTurns = Math.max(this.usedTurns, expiredTurns);
	}

	/**
	 * Returns whether this router has a permit.
	 * @param nowMillis the current time
	 * @return true if a request may be sent
	 */
	boolean hasPermit(long nowMillis) {
		advance(nowMillis);
		return Math.floor(this.turns) > this.usedTurns;
	}

	/**
	 * Uses a permit.
	 * @param nowMillis the current time
	 */
	void usePermit(long nowMillis) {
		advance(nowMillis);
		this.usedTurns++;
	}

	/**
	 * Returns the time until this router has a permit.
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 if there is a permit now
	 */
	long millisUntilPermit(long nowMillis) {
		if (hasPermit(nowMillis)) {
			return 0;
		}
		double missingTurns = Math.max(this.usedTurns, Math.floor(this.turns)) + 1 - this.turns;
		return (long) Math.ceil(missingTurns / this.perMillis);
	}

}
