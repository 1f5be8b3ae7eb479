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

	private static final long OWN_DOMAIN_TIMEOUT_MILLIS = 1800;

	private static final long MIN_UNREACHABLE_MILLIS = 1500;

	private static final long LOST_AFTER_MILLIS = 60_000;

	private static final long NEVER = Long.MIN_VALUE / 4;

	private VmHeartbeat heartbeat;

	private long lastSeenMillis = NEVER;

	private long unreachableAtMillis = 2 * NEVER;

	private boolean leaving;

	PeerLiveness(VmHeartbeat heartbeat) {
		this.heartbeat = heartbeat;
	}

	PeerLiveness(VmEntry vmEntry) {
		this(new VmHeartbeat(vmEntry.vm(), vmEntry.domain(), 0, 0, false, vmEntry.host(), vmEntry.peerPort(), 0, 0));
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
	VmHeartbeat heartbeatToRelay(long nowMillis) {
		return new VmHeartbeat(this.heartbeat.vm(), this.heartbeat.domain(), this.heartbeat.incarnation(),
				this.heartbeat.counter(), this.heartbeat.draining(), this.heartbeat.host(), this.heartbeat.port(),
				this.heartbeat.catalogueRevision(), nowMillis - this.lastSeenMillis);
	}

	void update(VmHeartbeat received, long nowMillis) {
		boolean hasRestarted = received.incarnation() > this.heartbeat.incarnation();
		boolean hasAdvanced = received.incarnation() == this.heartbeat.incarnation()
				&& received.counter() > this.heartbeat.counter();
		if (hasRestarted || hasAdvanced || this.lastSeenMillis == NEVER) {
			this.heartbeat = received;
			this.lastSeenMillis = nowMillis - received.silenceMillis();
		}
		if (hasRestarted) {
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

	boolean isAlive(DomainId ownDomain, long crossDomainTimeoutMillis, long nowMillis) {
		boolean isInOwnDomain = this.heartbeat.domain().equals(ownDomain);
		long timeoutMillis = isInOwnDomain ? OWN_DOMAIN_TIMEOUT_MILLIS : crossDomainTimeoutMillis;
		boolean isReachable = this.lastSeenMillis > this.unreachableAtMillis
				&& nowMillis - this.unreachableAtMillis >= MIN_UNREACHABLE_MILLIS;
		return isReachable && nowMillis - this.lastSeenMillis < timeoutMillis;
	}

	/**
	 * Returns whether the router has been silent for so long that it is sent gossip only
	 * occasionally.
	 * @param nowMillis the current time
	 * @return true after a long silence; false if no heartbeat was ever received
	 */
	boolean isLost(long nowMillis) {
		return this.lastSeenMillis != NEVER && nowMillis - this.lastSeenMillis >= LOST_AFTER_MILLIS;
	}

	boolean wasLastSeenBefore(long timeMillis) {
		return this.lastSeenMillis != NEVER && this.lastSeenMillis < timeMillis;
	}

}
