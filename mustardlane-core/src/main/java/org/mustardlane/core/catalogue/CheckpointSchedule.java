package org.mustardlane.core.catalogue;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.membership.Ownership;

/**
 * Decides when this router appends a checkpoint.
 *
 * <p>
 * The router that ranks first appends a checkpoint as soon as one is due. The two routers
 * that rank next append only when the checkpoint is overdue, and all others never, so
 * that not every router appends a checkpoint after a long outage. If the log has lost the
 * newest checkpoint, one is due at once. A duplicate checkpoint is harmless. Not
 * thread-safe: guarded by the lock of {@link CatalogueHandler}.
 */
final class CheckpointSchedule {

	private static final String APPEND_PREFIX = "catalogue-checkpoint-";

	private static final long RANKING_KEY = RendezvousHash.hash("catalogue-checkpoint");

	private static final int CANDIDATE_COUNT = 3;

	private static final int RANK_BEFORE_OWNERSHIP_IS_KNOWN = 1;

	private static final long ATTEMPT_INTERVAL_MILLIS = 10_000;

	private static final long LOST_CHECKPOINT_GRACE_MILLIS = 2_000;

	private final VmId self;

	private final CatalogueSettings settings;

	private int rank = RANK_BEFORE_OWNERSHIP_IS_KNOWN;

	private long nextAttemptMillis;

	private long unrecoverableSinceMillis = Long.MAX_VALUE;

	private long appendCount;

	CheckpointSchedule(VmId self, CatalogueSettings settings) {
		this.self = self;
		this.settings = settings;
	}

	void ownershipChanged(Ownership ownership) {
		this.rank = RendezvousHash.rank(RANKING_KEY, ownership.routers().keySet()).indexOf(this.self);
	}

	/**
	 * Creates the append of a checkpoint if this router has to append one now.
	 * @param log the catalogue log of this router
	 * @param nowMillis the current time
	 * @return the append, or empty if none is due
	 */
	Optional<AppendLog> createAppendIfDue(CatalogueLog log, long nowMillis) {
		this.unrecoverableSinceMillis = log.isRecoverable() ? Long.MAX_VALUE
				: Math.min(this.unrecoverableSinceMillis, nowMillis);
		if (nowMillis < this.nextAttemptMillis || !isDue(log, nowMillis)) {
			return Optional.empty();
		}
		this.nextAttemptMillis = nowMillis + ATTEMPT_INTERVAL_MILLIS;
		this.appendCount++;
		RecordBody body = new RecordBody(RecordType.CHECKPOINT, RecordCodec.encode(log.state()));
		return Optional.of(new AppendLog(StreamName.CATALOGUE, APPEND_PREFIX + this.appendCount, List.of(body)));
	}

	private boolean isDue(CatalogueLog log, long nowMillis) {
		if (this.rank < 0 || this.rank >= CANDIDATE_COUNT || log.state().nextOffset() == 1) {
			return false;
		}
		if (nowMillis - this.rank * LOST_CHECKPOINT_GRACE_MILLIS >= this.unrecoverableSinceMillis) {
			return true;
		}
		long overdueFactor = this.rank + 1L;
		long ageMillis = nowMillis - log.oldestRequiredAppendMillis();
		return log.recordsSinceCheckpoint() >= overdueFactor * this.settings.checkpointRecords()
				|| ageMillis >= overdueFactor * this.settings.checkpointIntervalMillis();
	}

}
