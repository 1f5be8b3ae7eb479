package org.mustardlane.core.catalogue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.mustardlane.core.model.log.LogRecord;

/**
 * Folds the records of the catalogue's stream in offset order, from wherever they come.
 *
 * <p>
 * Records ahead of a gap are held until the gap closes or a checkpoint passes over it.
 * The state never goes back to a lower offset. Guarded by the lock of the handler.
 */
final class CatalogueLog {

	private static final int HELD_LIMIT = 16_384;

	private static final int RECENT_STATES = 16;

	private static final byte[] NOTHING = {};

	private final TreeMap<Long, LogRecord> held = new TreeMap<>();

	private final Deque<CatalogueState> recentStates = new ArrayDeque<>();

	private final RelayBuffer relayBuffer = new RelayBuffer();

	private final List<Note> notes = new ArrayList<>();

	private CatalogueState state = CatalogueState.EMPTY;

	private long checkpointOffset;

	private long oldestNeededMillis;

	private long firstRetainedOffset = 1;

	/**
	 * Takes records from the log or from a peer.
	 * @param records the records, in any order
	 * @return whether a newer catalogue is in force
	 */
	boolean accept(List<LogRecord> records) {
		long revision = this.state.revision();
		records.stream().filter((record) -> record.offset() == 0).forEach(this::adopt);
		records.stream()
			.filter((record) -> record.offset() >= this.state.nextOffset())
			.forEach((record) -> this.held.putIfAbsent(record.offset(), record));
		foldHeld();
		while (!this.held.isEmpty() && passGap()) {
			foldHeld();
		}
		if (this.held.size() > HELD_LIMIT) {
			this.held.clear();
			note("catalogue-records-dropped", "too many records wait for a gap to close");
		}
		return this.state.revision() > revision;
	}

	private void foldHeld() {
		while (!this.held.isEmpty() && this.held.firstKey() <= this.state.nextOffset()) {
			LogRecord record = this.held.pollFirstEntry().getValue();
			if (record.offset() == this.state.nextOffset()) {
				fold(record);
			}
		}
	}

	private boolean passGap() {
		long nextOffset = this.state.nextOffset();
		this.held.values()
			.stream()
			.filter((record) -> record.type().equals(RecordType.CHECKPOINT))
			.toList()
			.forEach(this::adopt);
		return this.state.nextOffset() > nextOffset;
	}

	private void fold(LogRecord record) {
		if (this.state.nextOffset() == 1) {
			this.oldestNeededMillis = record.appendedAtMillis();
		}
		switch (record.type()) {
			case RecordType.CHANGE -> foldChange(record);
			case RecordType.CHECKPOINT -> foldCheckpoint(record);
			case RecordType.CHECKPOINT_MARK -> passCheckpoint(record);
			default -> {
				note("catalogue-record-unknown", "offset %d: %s".formatted(record.offset(), record.type()));
				pass(record);
			}
		}
	}

	private void foldChange(LogRecord record) {
		try {
			PublishedChange change = RecordCodec.decodeChange(record.body());
			enter(this.state.fold(record.offset(), record.appendedAtMillis(), change));
			this.relayBuffer.add(record);
		}
		catch (CorruptRecordException ex) {
			noteCorrupt(record, ex);
			pass(record);
		}
	}

	private void foldCheckpoint(LogRecord record) {
		try {
			RecordCodec.decodeState(record.body());
			passCheckpoint(record);
		}
		catch (CorruptRecordException ex) {
			noteCorrupt(record, ex);
			pass(record);
		}
	}

	private void passCheckpoint(LogRecord record) {
		rememberCheckpoint(record);
		pass(new LogRecord(record.offset(), record.appendedAtMillis(), RecordType.CHECKPOINT_MARK, NOTHING));
	}

	private void pass(LogRecord record) {
		enter(this.state.skip(record.offset()));
		this.relayBuffer.add(record);
	}

	private void adopt(LogRecord checkpoint) {
		try {
			CatalogueState stored = RecordCodec.decodeState(checkpoint.body());
			if (stored.nextOffset() <= this.state.nextOffset()) {
				return;
			}
			if (stored.revision() < this.state.revision()) {
				throw new CorruptRecordException("the checkpoint goes back to revision " + stored.revision());
			}
			note("catalogue-checkpoint-adopted", "from offset %d to offset %d, revision %d"
				.formatted(this.state.nextOffset(), stored.nextOffset(), stored.revision()));
			enter(stored);
			rememberCheckpoint(checkpoint);
			this.relayBuffer.clear();
		}
		catch (CorruptRecordException ex) {
			noteCorrupt(checkpoint, ex);
		}
	}

	private void rememberCheckpoint(LogRecord checkpoint) {
		long offset = (checkpoint.offset() > 0) ? checkpoint.offset() : this.state.nextOffset() - 1;
		if (offset > this.checkpointOffset) {
			this.checkpointOffset = offset;
			this.oldestNeededMillis = checkpoint.appendedAtMillis();
		}
	}

	private void enter(CatalogueState next) {
		if (next.revision() > this.state.revision()) {
			this.recentStates.addLast(next);
		}
		if (this.recentStates.size() > RECENT_STATES) {
			this.recentStates.removeFirst();
		}
		this.state = next;
	}

	private void noteCorrupt(LogRecord record, CorruptRecordException reason) {
		note("catalogue-record-corrupt",
				"offset %d: %s: %s".formatted(record.offset(), record.type(), reason.getMessage()));
	}

	private void note(String kind, String detail) {
		this.notes.add(new Note(kind, detail));
	}

	/**
	 * Hands over what is to go on the time line.
	 * @return the notes since the last call
	 */
	List<Note> takeNotes() {
		List<Note> taken = List.copyOf(this.notes);
		this.notes.clear();
		return taken;
	}

	CatalogueState state() {
		return this.state;
	}

	/**
	 * Returns the state at a revision, if it is among the newest ones.
	 * @param revision the revision
	 * @return the state
	 */
	Optional<CatalogueState> stateAt(long revision) {
		return this.recentStates.stream().filter((recent) -> recent.revision() == revision).findFirst();
	}

	/**
	 * Returns whether records are held behind a gap.
	 * @return whether there is a gap
	 */
	boolean hasGap() {
		return !this.held.isEmpty();
	}

	/**
	 * Returns what a peer needs that lacks all records from an offset on.
	 * @param fromOffset the offset
	 * @return the records, a checkpoint with offset 0 first where older ones are gone
	 */
	List<LogRecord> relayFrom(long fromOffset) {
		if (fromOffset >= this.state.nextOffset()) {
			return List.of();
		}
		return this.relayBuffer.from(fromOffset)
			.orElseGet(() -> List
				.of(new LogRecord(0, this.oldestNeededMillis, RecordType.CHECKPOINT, RecordCodec.encode(this.state))));
	}

	/**
	 * Takes how far retention has cut the log.
	 * @param offset oldest offset that the log still holds
	 */
	void retainedFrom(long offset) {
		this.firstRetainedOffset = offset;
	}

	/**
	 * Returns whether the log still holds the newest checkpoint, or without one all
	 * records, so that a router without a state can start from it.
	 * @return whether it does
	 */
	boolean isRecoverable() {
		return this.firstRetainedOffset <= Math.max(1, this.checkpointOffset);
	}

	/**
	 * Returns how many records stand after the newest checkpoint.
	 * @return the number
	 */
	long recordsSinceCheckpoint() {
		return this.state.nextOffset() - 1 - this.checkpointOffset;
	}

	/**
	 * Returns when the oldest record was appended that a router without a state has to
	 * read: the newest checkpoint, or without one the first record.
	 * @return the time by the clock of the platform
	 */
	long oldestNeededMillis() {
		return this.oldestNeededMillis;
	}

	/**
	 * Something for the time line.
	 *
	 * @param kind what happened, in kebab-case
	 * @param detail further facts in words
	 */
	record Note(String kind, String detail) {

	}

}
