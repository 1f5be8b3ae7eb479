package org.mustardlane.core.membership;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.membership.VmEntry;
import org.mustardlane.core.model.membership.VmHeartbeat;

/**
 * What one router knows of the life of another.
 *
 * <p>
 * Not thread-safe: guarded by the lock of the membership.
 */
final class PeerLiveness {

	private static final long NEAR_TIMEOUT_MILLIS = 1800;

	private static final long UNREACHABLE_MILLIS = 1500;

	private static final long LOST_AFTER_MILLIS = 60_000;

	private static final long NEVER = Long.MIN_VALUE / 4;

	private VmHeartbeat heartbeat;

	private long heardAtMillis = NEVER;

	private long unreachableAtMillis = 2 * NEVER;

	private boolean leaving;

	PeerLiveness(VmHeartbeat heartbeat) {
		this.heartbeat = heartbeat;
	}

	PeerLiveness(VmEntry row) {
		this(new VmHeartbeat(row.vm(), row.domain(), 0, 0, false, row.host(), row.peerPort(), 0, 0));
	}

	VmHeartbeat heartbeat() {
		return this.heartbeat;
	}

	/**
	 * Returns the heartbeat as it is told to others: with its age, so that hearsay never
	 * makes a silent router look alive.
	 * @param nowMillis the time
	 * @return the heartbeat
	 */
	VmHeartbeat relayed(long nowMillis) {
		return new VmHeartbeat(this.heartbeat.vm(), this.heartbeat.domain(), this.heartbeat.incarnation(),
				this.heartbeat.counter(), this.heartbeat.draining(), this.heartbeat.host(), this.heartbeat.port(),
				this.heartbeat.catalogueRevision(), nowMillis - this.heardAtMillis);
	}

	void heard(VmHeartbeat newer, long nowMillis) {
		boolean restarted = newer.incarnation() > this.heartbeat.incarnation();
		boolean advanced = newer.incarnation() == this.heartbeat.incarnation()
				&& newer.counter() > this.heartbeat.counter();
		if (restarted || advanced || this.heardAtMillis == NEVER) {
			this.heartbeat = newer;
			this.heardAtMillis = nowMillis - newer.silenceMillis();
		}
		if (restarted) {
			this.unreachableAtMillis = 2 * NEVER;
		}
	}

	void markUnreachable(long nowMillis) {
		this.unreachableAtMillis = nowMillis;
	}

	void setLeaving(boolean leaving) {
		this.leaving = leaving;
	}

	boolean isDraining() {
		return this.leaving || this.heartbeat.draining();
	}

	boolean isAlive(DomainId ownDomain, long farTimeoutMillis, long nowMillis) {
		boolean near = this.heartbeat.domain().equals(ownDomain);
		long timeoutMillis = near ? NEAR_TIMEOUT_MILLIS : farTimeoutMillis;
		boolean reachable = this.heardAtMillis > this.unreachableAtMillis
				&& nowMillis - this.unreachableAtMillis >= UNREACHABLE_MILLIS;
		return reachable && nowMillis - this.heardAtMillis < timeoutMillis;
	}

	/**
	 * Tells whether the router has been silent for so long that it is asked only now and
	 * then.
	 * @param nowMillis the time
	 * @return true after a long silence; false for one that was never heard
	 */
	boolean isLost(long nowMillis) {
		return this.heardAtMillis != NEVER && nowMillis - this.heardAtMillis >= LOST_AFTER_MILLIS;
	}

	boolean isForgotten(long beforeMillis) {
		return this.heardAtMillis != NEVER && this.heardAtMillis < beforeMillis;
	}

}
