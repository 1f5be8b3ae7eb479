package org.mustardlane.core.placement;

/**
 * Keeps the requests of one router within the room of a target that refusals bring down.
 *
 * <p>
 * A refusal comes too late to learn from, so requests are held back while the target has
 * hardly any free slot. If it refuses one all the same, the routers together wait long
 * enough that their next refusals do not add up. Not thread-safe.
 */
final class BrittleGuard {

	/**
	 * Part of the slots that is used. Other routers send requests at the same time, on
	 * the same report.
	 */
	private static final double USED_SLOTS = 0.75;

	/**
	 * About the duration of a plain request, after which a slot may be free.
	 */
	private static final int FULL_WAIT_MILLIS = 100;

	private static final int MILLIS_PER_SECOND = 1000;

	private Brittleness brittleness = Brittleness.NONE;

	private int routers = 1;

	private long pauseEndMillis;

	/**
	 * Stores a report of the target, unless a newer one is known.
	 * @param reported the report
	 * @param position this router, which may use a share of the slots
	 */
	void update(Brittleness reported, FleetPosition position) {
		if (reported.reportedAtMillis() > this.brittleness.reportedAtMillis()) {
			this.brittleness = reported;
			this.routers = position.routers();
		}
	}

	Brittleness brittleness() {
		return this.brittleness;
	}

	/**
	 * Records that the target has refused a request. Each router may cause its share of
	 * the refusals only.
	 * @param nowMillis the current time
	 */
	void recordRefusal(long nowMillis) {
		this.brittleness.fatalRefusalsPerSecond().ifPresent((refusals) -> {
			long shareMillis = (long) MILLIS_PER_SECOND * this.routers / Math.max(1, refusals);
			this.pauseEndMillis = nowMillis + Math.max(MILLIS_PER_SECOND, shareMillis);
		});
	}

	/**
	 * Returns the time until a request may be sent.
	 * @param load requests that the target has, as far as known
	 * @param isLoadKnown whether that covers the requests of other routers
	 * @param slots number of requests that the target processes at once
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 if a request may be sent now
	 */
	long waitMillis(int load, boolean isLoadKnown, int slots, long nowMillis) {
		if (!this.brittleness.isBrittle()) {
			return 0;
		}
		double room = isLoadKnown ? slots * USED_SLOTS : (double) slots / this.routers;
		long fullWaitMillis = (load + 1 <= Math.max(1, room)) ? 0 : FULL_WAIT_MILLIS;
		return Math.max(fullWaitMillis, this.pauseEndMillis - nowMillis);
	}

}
