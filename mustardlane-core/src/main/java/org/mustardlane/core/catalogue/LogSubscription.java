package org.mustardlane.core.catalogue;

import java.util.Optional;

import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.UnfollowStream;
import org.mustardlane.core.model.log.StreamName;

/**
 * Subscribes this router to the catalogue stream of the log and unsubscribes it.
 *
 * <p>
 * A router that is not a log reader subscribes for a while when a peer has reported a
 * higher revision whose records do not arrive by relay, or when records are held behind a
 * gap. Not thread-safe: guarded by the lock of {@link CatalogueHandler}.
 */
final class LogSubscription {

	private static final long GAP_TIMEOUT_MILLIS = 2_000;

	private static final long LAG_TIMEOUT_MILLIS = 1_000;

	private static final long NEVER = Long.MAX_VALUE;

	private boolean subscribed;

	private long gapDeadlineMillis = NEVER;

	private long lagDeadlineMillis = NEVER;

	private long newestPeerRevision;

	/**
	 * Records the catalogue revision that a peer has reported.
	 * @param revision newest revision of the peer
	 */
	void recordPeerRevision(long revision) {
		this.newestPeerRevision = Math.max(this.newestPeerRevision, revision);
	}

	/**
	 * Starts or clears the deadlines for a gap and for a lag behind the peers.
	 * @param log the catalogue log of this router
	 * @param nowMillis the current time
	 */
	void updateDeadlines(CatalogueLog log, long nowMillis) {
		this.gapDeadlineMillis = log.hasGap() ? Math.min(this.gapDeadlineMillis, nowMillis + GAP_TIMEOUT_MILLIS)
				: NEVER;
		boolean lagging = this.newestPeerRevision > log.state().revision();
		this.lagDeadlineMillis = lagging ? Math.min(this.lagDeadlineMillis, nowMillis + LAG_TIMEOUT_MILLIS) : NEVER;
	}

	/**
	 * Subscribes, subscribes again from the next missing offset, or unsubscribes.
	 * @param required whether this router has to read the log regardless of gaps and lag
	 * @param log the catalogue log of this router
	 * @param nowMillis the current time
	 * @return the action that changes the subscription, or empty if it stays
	 */
	Optional<NodeAction> update(boolean required, CatalogueLog log, long nowMillis) {
		boolean gapExpired = nowMillis >= this.gapDeadlineMillis;
		boolean shouldSubscribe = required || gapExpired || nowMillis >= this.lagDeadlineMillis;
		boolean wasSubscribed = this.subscribed;
		this.subscribed = shouldSubscribe;
		if (shouldSubscribe && (gapExpired || !wasSubscribed)) {
			this.gapDeadlineMillis = NEVER;
			return Optional.of(new FollowStream(StreamName.CATALOGUE, log.state().nextOffset()));
		}
		return (wasSubscribed && !shouldSubscribe) ? Optional.of(new UnfollowStream(StreamName.CATALOGUE))
				: Optional.empty();
	}

}
