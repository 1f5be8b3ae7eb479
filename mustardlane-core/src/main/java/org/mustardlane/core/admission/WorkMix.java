package org.mustardlane.core.admission;

import org.mustardlane.core.model.catalogue.ServiceClass;

/**
 * Which classes of work a shard has seen lately.
 */
final class WorkMix {

	private static final long URGENT_MEMORY_MILLIS = 30_000;

	private static final long SHORT_MEMORY_MILLIS = 10_000;

	private static final double MEAN_MEMORY_MILLIS = 2000;

	private long urgentUntilMillis;

	private long shortUntilMillis;

	private long lesserUntilMillis;

	private double meanShort;

	private long sampledAtMillis;

	void arrived(ServiceClass serviceClass, long nowMillis) {
		if (serviceClass == ServiceClass.URGENT) {
			this.urgentUntilMillis = nowMillis + URGENT_MEMORY_MILLIS;
		}
		else {
			this.lesserUntilMillis = nowMillis + SHORT_MEMORY_MILLIS;
		}
		if (serviceClass != ServiceClass.BULK) {
			this.shortUntilMillis = nowMillis + SHORT_MEMORY_MILLIS;
		}
	}

	/**
	 * Takes the present number of grants of urgent and interactive work.
	 * @param shortGrants the number
	 * @param nowMillis the time
	 */
	void sample(int shortGrants, long nowMillis) {
		double weight = 1 - Math.exp((this.sampledAtMillis - nowMillis) / MEAN_MEMORY_MILLIS);
		this.meanShort += weight * (shortGrants - this.meanShort);
		this.sampledAtMillis = nowMillis;
	}

	boolean urgentIsAbout(long nowMillis) {
		return nowMillis < this.urgentUntilMillis;
	}

	boolean shortIsAbout(long nowMillis) {
		return nowMillis < this.shortUntilMillis;
	}

	boolean lesserIsAbout(long nowMillis) {
		return nowMillis < this.lesserUntilMillis;
	}

	double meanShort() {
		return this.meanShort;
	}

}
