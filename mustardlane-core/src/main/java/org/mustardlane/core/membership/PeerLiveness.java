package org.mustardlane.core.membership;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.membership.VmEntry;
import org.mustardlane.core.model.membership.VmHeartbeat;

/**
 * Tracks whether another router is alive.
 *
 * <p>
 * Not thread-safe: guarded by the lock of {@link MembershipHandler}.
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
	 * Returns the heartbeat to relay to other routers. It carries its age, so that a
	 * relayed heartbeat never makes a silent router look alive.
	 * @param nowMillis the current time
	 * @return the heartbeat with its age
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
	 * Returns whether the router has been silent for so long that it is sent gossip only
	 * occasionally.
	 * @param nowMillis the current time
	 * @return true after a long silence; false if no heartbeat was ever received
	 */
	boolean isLost(long nowMillis) {
		return this.heardAtMillis != NEVER && nowMillis - this.heardAtMillis >= LOST_AFTER_MILLIS;
	}

	boolean isForgotten(long beforeMillis) {
		return this.heardAtMillis != NEVER && this.heardAtMillis < beforeMillis;
	}

}
