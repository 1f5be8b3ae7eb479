package org.mustardlane.router.answer;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.mustardlane.core.message.StoredResponse;
import org.mustardlane.core.model.execution.Refusal;

/**
 * Passes the response of one request on to its caller and to joined requests, and keeps a
 * bounded copy from the first byte on.
 *
 * <p>
 * The caller sets the pace. Joined requests read from the copy; once the response is
 * larger than the copy may be, they are broken off. Thread-safe.
 */
public final class AnswerRelay {

	private volatile AnswerReader caller;

	private final int copyBytesLimit;

	private final List<JoinedReader> joined = new ArrayList<>();

	private Optional<AnswerHead> head = Optional.empty();

	private ByteArrayOutputStream copy = new ByteArrayOutputStream(0);

	private boolean copyWhole = true;

	private long deliveredBytes;

	private boolean finished;

	private Optional<Refusal> aborted = Optional.empty();

	/**
	 * Creates a relay.
	 * @param caller who reads the response
	 * @param copyBytesLimit largest copy
	 */
	public AnswerRelay(AnswerReader caller, int copyBytesLimit) {
		this.caller = caller;
		this.copyBytesLimit = copyBytesLimit;
	}

	/**
	 * Passes the head on; only the first one counts, as a resumed response has a head of
	 * its own.
	 * @param answerHead the head
	 */
	public void begin(AnswerHead answerHead) {
		synchronized (this) {
			if (this.head.isPresent() || this.finished || this.aborted.isPresent()) {
				return;
			}
			this.head = Optional.of(answerHead);
		}
		this.caller.begin(answerHead);
		pumpJoined();
	}

	/**
	 * Starts over after a broken response of which nothing has been seen.
	 * @return false where a part may have been seen
	 */
	public boolean restart() {
		synchronized (this) {
			boolean unseen = this.head.filter(this.caller::holds).isPresent() && this.joined.isEmpty();
			if (!unseen || this.finished || this.aborted.isPresent()) {
				return false;
			}
			this.head = Optional.empty();
			this.copy = new ByteArrayOutputStream(0);
			this.copyWhole = true;
			this.deliveredBytes = 0;
		}
		this.caller.restart();
		return true;
	}

	/**
	 * Passes a part on.
	 * @param part the bytes
	 * @param ready to be run once the caller takes the next part
	 */
	public void write(byte[] part, Runnable ready) {
		synchronized (this) {
			this.deliveredBytes += part.length;
			if (this.copyWhole && this.copy.size() + part.length <= this.copyBytesLimit) {
				this.copy.writeBytes(part);
			}
			else {
				this.copyWhole = false;
				this.copy = new ByteArrayOutputStream(0);
			}
		}
		this.caller.write(part, ready);
		pumpJoined();
	}

	/**
	 * Ends the response: it is whole.
	 */
	public void finish() {
		synchronized (this) {
			this.finished = true;
		}
		this.caller.finish();
		pumpJoined();
	}

	/**
	 * Marks the response as whole for joined requests while the caller's own word is
	 * still to come.
	 */
	public void finishJoined() {
		synchronized (this) {
			this.finished = true;
		}
		pumpJoined();
	}

	/**
	 * Lets the caller go, and breaks joined requests off where the response has not
	 * become whole.
	 */
	public void close() {
		this.caller = NoReader.INSTANCE;
		synchronized (this) {
			if (!this.finished && this.aborted.isEmpty()) {
				this.aborted = Optional.of(JoinedReader.BROKEN);
			}
		}
		pumpJoined();
	}

	/**
	 * Gives the caller and joined requests a final word other than a whole response.
	 * @param refusal the word
	 */
	public void abort(Refusal refusal) {
		synchronized (this) {
			this.aborted = Optional.of(refusal);
		}
		this.caller.abort(refusal);
		pumpJoined();
	}

	/**
	 * Lets another reader have the response from its first byte on.
	 * @param reader the reader
	 */
	public void join(AnswerReader reader) {
		JoinedReader joiner = new JoinedReader(this, reader);
		synchronized (this) {
			this.joined.add(joiner);
		}
		joiner.pump();
	}

	/**
	 * Returns the whole response.
	 * @param limitBytes largest response that is wanted
	 * @return the response, or empty where the copy is not whole or too large
	 */
	public synchronized Optional<StoredResponse> stored(int limitBytes) {
		if (!this.copyWhole || this.head.isEmpty() || this.copy.size() > limitBytes) {
			return Optional.empty();
		}
		return Optional
			.of(new StoredResponse(this.head.get().status(), this.head.get().contentType(), this.copy.toByteArray()));
	}

	/**
	 * Returns the bytes delivered so far.
	 * @param offsetBytes how many are wanted
	 * @return the bytes, or empty where they are not kept
	 */
	public synchronized Optional<byte[]> delivered(long offsetBytes) {
		if (!this.copyWhole || this.copy.size() < offsetBytes) {
			return Optional.empty();
		}
		return Optional.of(Arrays.copyOf(this.copy.toByteArray(), (int) offsetBytes));
	}

	/**
	 * Returns how many bytes have been passed on.
	 * @return the number of bytes
	 */
	public synchronized long deliveredBytes() {
		return this.deliveredBytes;
	}

	private void pumpJoined() {
		List<JoinedReader> readers;
		synchronized (this) {
			readers = List.copyOf(this.joined);
		}
		readers.forEach(JoinedReader::pump);
	}

	/**
	 * Returns what a joined reader is to do next.
	 * @param begun whether it has the head
	 * @param position bytes that it has
	 * @return the step
	 */
	synchronized JoinStep next(boolean begun, int position) {
		if (this.aborted.isPresent() || !this.copyWhole) {
			return JoinStep.broken();
		}
		if (this.head.isEmpty()) {
			return JoinStep.none();
		}
		if (!begun) {
			AnswerHead answerHead = this.head.get();
			return JoinStep.begin(new AnswerHead(answerHead.status(), answerHead.contentType(), OptionalLong.empty()));
		}
		if (position < this.copy.size()) {
			byte[] all = this.copy.toByteArray();
			return JoinStep.part(Arrays.copyOfRange(all, position, all.length));
		}
		return this.finished ? JoinStep.finish() : JoinStep.none();
	}

	/**
	 * Forgets a joined reader that has ended.
	 * @param joiner the reader
	 */
	synchronized void left(JoinedReader joiner) {
		this.joined.remove(joiner);
	}

}
