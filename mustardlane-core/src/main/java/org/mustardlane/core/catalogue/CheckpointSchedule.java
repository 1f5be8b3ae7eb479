package org.mustardlane.core.catalogue;

import java.util.List;
import java.util.Optional;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.model.common.Rendezvous;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.membership.Ownership;

/**
 * Decides when this router appends a checkpoint.
 *
 * <p>
 * The router that owns the duty appends when a checkpoint is due, every other router only
 * when it is long overdue; a second checkpoint is harmless. Guarded by the lock of the
 * handler.
 */
final class CheckpointSchedule {

	private static final String APPEND_PREFIX = "catalogue-checkpoint-";

	private static final long OWNER_KEY = Rendezvous.hash("catalogue-checkpoint");

	private static final int OVERDUE_FACTOR = 2;

	private static final long ATTEMPT_INTERVAL_MILLIS = 10_000;

	private final VmId self;

	private final CatalogueSettings settings;

	private boolean owner;

	private long nextAttemptMillis;

	private long attempts;

	CheckpointSchedule(VmId self, CatalogueSettings settings) {
		this.self = self;
		this.settings = settings;
	}

	void ownershipChanged(Ownership ownership) {
		this.owner = Rendezvous.first(OWNER_KEY, ownership.routers().keySet()).filter(this.self::equals).isPresent();
	}

	/**
	 * Returns the append of a checkpoint, where one is due.
	 * @param log the log as folded on this router
	 * @param nowMillis the time
	 * @return the append
	 */
	Optional<AppendLog> due(CatalogueLog log, long nowMillis) {
		if (nowMillis < this.nextAttemptMillis || !isDue(log, nowMillis)) {
			return Optional.empty();
		}
		this.nextAttemptMillis = nowMillis + ATTEMPT_INTERVAL_MILLIS;
		this.attempts++;
		RecordBody body = new RecordBody(RecordType.CHECKPOINT, RecordCodec.encode(log.state()));
		return Optional.of(new AppendLog(StreamName.CATALOGUE, APPEND_PREFIX + this.attempts, List.of(body)));
	}

	private boolean isDue(CatalogueLog log, long nowMillis) {
		int factor = this.owner ? 1 : OVERDUE_FACTOR;
		if (log.state().nextOffset() == 1) {
			return false;
		}
		long ageMillis = nowMillis - log.oldestNeededMillis();
		return log.recordsSinceCheckpoint() >= (long) factor * this.settings.checkpointRecords()
				|| ageMillis >= factor * this.settings.checkpointIntervalMillis();
	}

}
