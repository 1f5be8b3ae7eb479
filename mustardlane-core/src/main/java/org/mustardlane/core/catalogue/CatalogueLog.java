package org.mustardlane.core.catalogue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.mustardlane.core.model.log.LogRecord;

/**
 * Applies the records of the catalogue stream in offset order, whether they were read
 * from the log or relayed by a peer.
 *
 * <p>
 * Records behind a gap are held until the missing records arrive or a checkpoint covers
 * the gap. The state never returns to a lower offset. Not thread-safe: guarded by the
 * lock of {@link CatalogueHandler}.
 */
final class CatalogueLog {

	private static final int MAX_HELD_RECORDS = 16_384;

	private static final int MAX_RECENT_STATES = 16;

	private static final byte[] EMPTY_BODY = {};

	private final TreeMap<Long, LogRecord> heldRecords = new TreeMap<>();

	private final Deque<CatalogueState> recentStates = new ArrayDeque<>();

	private final RelayBuffer relayBuffer = new RelayBuffer();

	private final List<TimelineNote> timelineNotes = new ArrayList<>();

	private CatalogueState state = CatalogueState.EMPTY;

	private long newestCheckpointOffset;

	private long oldestRequiredAppendMillis;

	private long firstRetainedOffset = 1;

	/**
	 * Accepts records from the log or from a peer and applies those without a gap before
	 * them.
	 * @param records the records, in any order
	 * @return {@code true} if the catalogue has a newer revision
	 */
	boolean accept(List<LogRecord> records) {
		long oldRevision = this.state.revision();
		records.stream().filter((record) -> record.offset() == 0).forEach(this::adoptCheckpoint);
		records.stream()
			.filter((record) -> record.offset() >= this.state.nextOffset())
			.forEach((record) -> this.heldRecords.putIfAbsent(record.offset(), record));
		applyHeldRecords();
		while (!this.heldRecords.isEmpty() && adoptHeldCheckpoints()) {
			applyHeldRecords();
		}
		if (this.heldRecords.size() > MAX_HELD_RECORDS) {
			this.heldRecords.clear();
			addNote("catalogue-records-dropped", "too many records wait for a gap to close");
		}
		return this.state.revision() > oldRevision;
	}

	private void applyHeldRecords() {
		while (!this.heldRecords.isEmpty() && this.heldRecords.firstKey() <= this.state.nextOffset()) {
			LogRecord record = this.heldRecords.pollFirstEntry().getValue();
			if (record.offset() == this.state.nextOffset()) {
				apply(record);
			}
		}
	}

	private boolean adoptHeldCheckpoints() {
		long oldNextOffset = this.state.nextOffset();
		this.heldRecords.values()
			.stream()
			.filter((record) -> record.type().equals(RecordType.CHECKPOINT))
			.toList()
			.forEach(this::adoptCheckpoint);
		return this.state.nextOffset() > oldNextOffset;
	}

	private void apply(LogRecord record) {
		if (this.state.nextOffset() == 1) {
			this.oldestRequiredAppendMillis = record.appendedAtMillis();
		}
		switch (record.type()) {
			case RecordType.CHANGE -> applyChange(record);
			case RecordType.CHECKPOINT -> applyCheckpoint(record);
			case RecordType.CHECKPOINT_MARK -> skipCheckpoint(record);
			default -> {
				addNote("catalogue-record-unknown", "offset %d: %s".formatted(record.offset(), record.type()));
				skip(record);
			}
		}
	}

	private void applyChange(LogRecord record) {
		try {
			PublishedChange change = RecordCodec.decodeChange(record.body());
			setState(this.state.apply(record.offset(), record.appendedAtMillis(), change));
			this.relayBuffer.add(record);
		}
		catch (CorruptRecordException ex) {
			addCorruptRecordNote(record, ex);
			skip(record);
		}
	}

	private void applyCheckpoint(LogRecord record) {
		try {
			RecordCodec.decodeState(record.body());
			skipCheckpoint(record);
		}
		catch (CorruptRecordException ex) {
			addCorruptRecordNote(record, ex);
			skip(record);
		}
	}

	private void skipCheckpoint(LogRecord record) {
		updateNewestCheckpoint(record);
		skip(new LogRecord(record.offset(), record.appendedAtMillis(), RecordType.CHECKPOINT_MARK, EMPTY_BODY));
	}

	private void skip(LogRecord record) {
		setState(this.state.skip(record.offset()));
		this.relayBuffer.add(record);
	}

	private void adoptCheckpoint(LogRecord checkpoint) {
		try {
			CatalogueState checkpointState = RecordCodec.decodeState(checkpoint.body());
			if (checkpointState.nextOffset() <= this.state.nextOffset()) {
				return;
			}
			if (checkpointState.revision() < this.state.revision()) {
				throw new CorruptRecordException("the checkpoint goes back to revision " + checkpointState.revision());
			}
			addNote("catalogue-checkpoint-adopted", "from offset %d to offset %d, revision %d"
				.formatted(this.state.nextOffset(), checkpointState.nextOffset(), checkpointState.revision()));
			setState(checkpointState);
			updateNewestCheckpoint(checkpoint);
			this.relayBuffer.clear();
		}
		catch (CorruptRecordException ex) {
			addCorruptRecordNote(checkpoint, ex);
		}
	}

	private void updateNewestCheckpoint(LogRecord checkpoint) {
		long offset = (checkpoint.offset() > 0) ? checkpoint.offset() : this.state.nextOffset() - 1;
		if (offset > this.newestCheckpointOffset) {
			this.newestCheckpointOffset = offset;
			this.oldestRequiredAppendMillis = checkpoint.appendedAtMillis();
		}
	}

	private void setState(CatalogueState newState) {
		if (newState.revision() > this.state.revision()) {
			this.recentStates.addLast(newState);
		}
		if (this.recentStates.size() > MAX_RECENT_STATES) {
			this.recentStates.removeFirst();
		}
		this.state = newState;
	}

	private void addCorruptRecordNote(LogRecord record, CorruptRecordException cause) {
		addNote("catalogue-record-corrupt",
				"offset %d: %s: %s".formatted(record.offset(), record.type(), cause.getMessage()));
	}

	private void addNote(String kind, String detail) {
		this.timelineNotes.add(new TimelineNote(kind, detail));
	}

	/**
	 * Returns the notes for the timeline that were collected since the last call, and
	 * clears them.
	 * @return the notes, oldest first
	 */
	List<TimelineNote> drainTimelineNotes() {
		List<TimelineNote> drained = List.copyOf(this.timelineNotes);
		this.timelineNotes.clear();
		return drained;
	}

	CatalogueState state() {
		return this.state;
	}

	/**
	 * Returns the state at a revision, if it is still in memory.
	 * @param revision the revision
	 * @return the state, or empty if the revision was not accepted or is too old
	 */
	Optional<CatalogueState> stateAt(long revision) {
		return this.recentStates.stream().filter((recentState) -> recentState.revision() == revision).findFirst();
	}

	/**
	 * Returns whether records are held back because an earlier record is missing.
	 * @return {@code true} if records are held behind a gap
	 */
	boolean hasGap() {
		return !this.heldRecords.isEmpty();
	}

	/**
	 * Returns the records for a peer that lacks all records from an offset on.
	 * @param fromOffset the first offset that the peer lacks
	 * @return the records; only a checkpoint with offset 0 if the buffer no longer holds
	 * the first of them
	 */
	List<LogRecord> recordsForRelay(long fromOffset) {
		if (fromOffset >= this.state.nextOffset()) {
			return List.of();
		}
		return this.relayBuffer.recordsFrom(fromOffset)
			.orElseGet(() -> List.of(new LogRecord(0, this.oldestRequiredAppendMillis, RecordType.CHECKPOINT,
					RecordCodec.encode(this.state))));
	}

	/**
	 * Sets the offset before which the retention of the log has deleted all records.
	 * @param offset the oldest offset that the log still holds
	 */
	void setFirstRetainedOffset(long offset) {
		this.firstRetainedOffset = offset;
	}

	/**
	 * Returns whether a router without any state can still build the catalogue from the
	 * log: the log holds the newest checkpoint or, without a checkpoint, all records.
	 * @return {@code true} if the log suffices to build the catalogue
	 */
	boolean isRecoverable() {
		return this.firstRetainedOffset <= Math.max(1, this.newestCheckpointOffset);
	}

	/**
	 * Returns the number of records after the newest checkpoint.
	 * @return the number of records
	 */
	long recordsSinceCheckpoint() {
		return this.state.nextOffset() - 1 - this.newestCheckpointOffset;
	}

	/**
	 * Returns the append time of the oldest record that a router without any state has to
	 * read: the newest checkpoint or, without a checkpoint, the first record.
	 * @return the append time on the clock of the platform
	 */
	long oldestRequiredAppendMillis() {
		return this.oldestRequiredAppendMillis;
	}

	/**
	 * An event to be recorded in the timeline.
	 *
	 * @param kind kind of the event, in kebab-case
	 * @param detail description for operators
	 */
	record TimelineNote(String kind, String detail) {

	}

}
