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
 * The router that ranks first appends when a checkpoint is due, the next two only when it
 * is overdue, so that a long outage does not end in a checkpoint of every router. One is
 * due at once where the log has lost the newest. A second checkpoint is harmless. Guarded
 * by the lock of the handler.
 */
final class CheckpointSchedule {

	private static final String APPEND_PREFIX = "catalogue-checkpoint-";

	private static final long OWNER_KEY = RendezvousHash.hash("catalogue-checkpoint");

	private static final int CANDIDATES = 3;

	private static final int RANK_WHILE_FLEET_IS_UNKNOWN = 1;

	private static final long ATTEMPT_INTERVAL_MILLIS = 10_000;

	private static final long LOST_CHECKPOINT_GRACE_MILLIS = 2_000;

	private final VmId self;

	private final CatalogueSettings settings;

	private int rank = RANK_WHILE_FLEET_IS_UNKNOWN;

	private long nextAttemptMillis;

	private long lostSinceMillis = Long.MAX_VALUE;

	private long attempts;

	CheckpointSchedule(VmId self, CatalogueSettings settings) {
		this.self = self;
		this.settings = settings;
	}

	void ownershipChanged(Ownership ownership) {
		this.rank = RendezvousHash.rank(OWNER_KEY, ownership.routers().keySet()).indexOf(this.self);
	}

	/**
	 * Returns the append of a checkpoint, where one is due.
	 * @param log the log as folded on this router
	 * @param nowMillis the time
	 * @return the append
	 */
	Optional<AppendLog> due(CatalogueLog log, long nowMillis) {
		this.lostSinceMillis = log.isRecoverable() ? Long.MAX_VALUE : Math.min(this.lostSinceMillis, nowMillis);
		if (nowMillis < this.nextAttemptMillis || !isDue(log, nowMillis)) {
			return Optional.empty();
		}
		this.nextAttemptMillis = nowMillis + ATTEMPT_INTERVAL_MILLIS;
		this.attempts++;
		RecordBody body = new RecordBody(RecordType.CHECKPOINT, RecordCodec.encode(log.state()));
		return Optional.of(new AppendLog(StreamName.CATALOGUE, APPEND_PREFIX + this.attempts, List.of(body)));
	}

	private boolean isDue(CatalogueLog log, long nowMillis) {
		if (this.rank < 0 || this.rank >= CANDIDATES || log.state().nextOffset() == 1) {
			return false;
		}
		if (nowMillis - this.rank * LOST_CHECKPOINT_GRACE_MILLIS >= this.lostSinceMillis) {
			return true;
		}
		long factor = this.rank + 1L;
		long ageMillis = nowMillis - log.oldestNeededMillis();
		return log.recordsSinceCheckpoint() >= factor * this.settings.checkpointRecords()
				|| ageMillis >= factor * this.settings.checkpointIntervalMillis();
	}

}
