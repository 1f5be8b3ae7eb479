package org.mustardlane.standin.target;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The load of a target over the last moments, of which readers see a late one.
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
		visible(nowMillis);
	}

	LoadReport visible(long nowMillis) {
		long visibleMillis = nowMillis - this.lagMillis;
		LoadReport newest = this.reports.getFirst();
		while (!this.reports.isEmpty() && this.reports.getFirst().reportedAtMillis() <= visibleMillis) {
			newest = this.reports.removeFirst();
		}
		this.reports.addFirst(newest);
		return new LoadReport(visibleMillis, newest.running(), newest.waiting(), newest.leaving());
	}

	/**
	 * The load at one time.
	 *
	 * @param reportedAtMillis the time
	 * @param running requests that run
	 * @param waiting requests that wait
	 * @param leaving whether the target is about to leave
	 */
	record LoadReport(long reportedAtMillis, int running, int waiting, boolean leaving) {

	}

}
