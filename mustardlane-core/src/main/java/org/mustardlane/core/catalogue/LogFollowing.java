package org.mustardlane.core.catalogue;

import java.util.Optional;

import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.UnfollowStream;
import org.mustardlane.core.model.log.StreamName;

/**
 * Starts and stops the reading of the log on this router.
 *
 * <p>
 * A router that need not read does so while peers show a higher revision that does not
 * arrive, or while records wait behind a gap. Guarded by the lock of the handler.
 */
final class LogFollowing {

	private static final long GAP_MILLIS = 2_000;

	private static final long BEHIND_MILLIS = 1_000;

	private static final long NEVER = Long.MAX_VALUE;

	private boolean following;

	private long gapDeadlineMillis = NEVER;

	private long behindDeadlineMillis = NEVER;

	private long knownRevision;

	/**
	 * Takes the newest revision that a peer has shown.
	 * @param revision the revision
	 */
	void heardOf(long revision) {
		this.knownRevision = Math.max(this.knownRevision, revision);
	}

	/**
	 * Looks at what the log has become.
	 * @param log the log as folded on this router
	 * @param nowMillis the time
	 */
	void observe(CatalogueLog log, long nowMillis) {
		this.gapDeadlineMillis = log.hasGap() ? Math.min(this.gapDeadlineMillis, nowMillis + GAP_MILLIS) : NEVER;
		boolean behind = this.knownRevision > log.state().revision();
		this.behindDeadlineMillis = behind ? Math.min(this.behindDeadlineMillis, nowMillis + BEHIND_MILLIS) : NEVER;
	}

	/**
	 * Starts, restarts or stops the reading.
	 * @param needed whether this router has to read in any case
	 * @param log the log as folded on this router
	 * @param nowMillis the time
	 * @return what is to be done
	 */
	Optional<NodeAction> adjust(boolean needed, CatalogueLog log, long nowMillis) {
		boolean stalled = nowMillis >= this.gapDeadlineMillis;
		boolean wanted = needed || stalled || nowMillis >= this.behindDeadlineMillis;
		boolean before = this.following;
		this.following = wanted;
		if (wanted && (stalled || !before)) {
			this.gapDeadlineMillis = NEVER;
			return Optional.of(new FollowStream(StreamName.CATALOGUE, log.state().nextOffset()));
		}
		return (before && !wanted) ? Optional.of(new UnfollowStream(StreamName.CATALOGUE)) : Optional.empty();
	}

}
