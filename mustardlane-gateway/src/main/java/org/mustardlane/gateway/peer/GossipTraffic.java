package org.mustardlane.gateway.peer;

import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Counts the digests that this router exchanges, and reports them at intervals.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class GossipTraffic {

	private static final int REPORT_INTERVAL_MILLIS = 5000;

	private final DecisionLog log;

	private long lastReportMillis;

	private int regularCount;

	private int newsCount;

	private int receivedCount;

	GossipTraffic(DecisionLog log, long nowMillis) {
		this.log = log;
		this.lastReportMillis = nowMillis;
	}

	/**
	 * Counts a digest that was sent to another router.
	 * @param newsOnly whether it was sent because of news, outside the regular rounds
	 */
	void recordSent(boolean newsOnly) {
		if (newsOnly) {
			this.newsCount++;
		}
		else {
			this.regularCount++;
		}
	}

	/**
	 * Counts a digest that another router has sent.
	 */
	void recordReceived() {
		this.receivedCount++;
	}

	/**
	 * Writes the counts since the last report to the log, if the interval has passed and
	 * news were sent.
	 * @param nowMillis the current time
	 */
	void reportIfDue(long nowMillis) {
		if (nowMillis - this.lastReportMillis < REPORT_INTERVAL_MILLIS) {
			return;
		}
		if (this.newsCount > 0) {
			this.log.write(LogEvent.GOSSIP_TRAFFIC, "regular", this.regularCount, "news", this.newsCount, "received",
					this.receivedCount, "intervalMillis", nowMillis - this.lastReportMillis);
		}
		this.lastReportMillis = nowMillis;
		this.regularCount = 0;
		this.newsCount = 0;
		this.receivedCount = 0;
	}

}
