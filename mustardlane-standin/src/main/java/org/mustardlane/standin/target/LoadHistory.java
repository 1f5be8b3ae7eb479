package org.mustardlane.standin.target;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Recent load of a target. Readers get a report that is older by a fixed lag.
 */
final class LoadHistory {

	private final Deque<LoadReport> reports = new ArrayDeque<>();

	private final int lagMillis;

	LoadHistory(int lagMillis) {
		this.lagMillis = lagMillis;
		this.reports.add(new LoadReport(0, 0, 0, false));
	}

	void record(int running, int waiting, boolean leaving) {
		long nowMillis = System.currentTimeMillis();
		this.reports.addLast(new LoadReport(nowMillis, running, waiting, leaving));
		laggedReport(nowMillis);
	}

	LoadReport laggedReport(long nowMillis) {
		long reportTimeMillis = nowMillis - this.lagMillis;
		LoadReport latestVisible = this.reports.getFirst();
		while (!this.reports.isEmpty() && this.reports.getFirst().reportedAtMillis() <= reportTimeMillis) {
			latestVisible = this.reports.removeFirst();
		}
		this.reports.addFirst(latestVisible);
		return new LoadReport(reportTimeMillis, latestVisible.running(), latestVisible.waiting(),
				latestVisible.leaving());
	}

	/**
	 * The load at one point in time.
	 *
	 * @param reportedAtMillis the time in milliseconds since the epoch
	 * @param running number of running requests
	 * @param waiting number of queued requests
	 * @param leaving whether the target is about to leave
	 */
	record LoadReport(long reportedAtMillis, int running, int waiting, boolean leaving) {

	}

}
