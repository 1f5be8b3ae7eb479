package org.mustardlane.gateway.knowledge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;

import io.netty.channel.EventLoop;

import org.mustardlane.core.directory.LogPosition;

/**
 * Follows one topic: reads a snapshot with the newest record of each key, then the
 * records that follow.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class TopicFollower {

	private static final int INITIAL_BACKOFF_MILLIS = 150;

	private static final int MAX_BACKOFF_MILLIS = 1000;

	/**
	 * All followers of all routers notice a restoration at the same time.
	 */
	private static final int MAX_RESTART_DELAY_MILLIS = 150;

	private final RecordLog recordLog;

	private final Topic topic;

	private final ReadPolicy readPolicy;

	private final TopicListener listener;

	private final EventLoop loop;

	private final LogEpoch logEpoch;

	private final LogConnections connections;

	private final List<KeyedRecord> snapshot = new ArrayList<>();

	private LogPosition snapshotEnd = LogPosition.START;

	private Optional<LogPosition> next = Optional.empty();

	private Optional<LogPosition> nextBeforeRestoration = Optional.empty();

	private int generation;

	private Optional<HedgedRead<?>> currentRead = Optional.empty();

	private boolean unavailable;

	/**
	 * Called after the next read that has not started yet.
	 */
	private final List<Runnable> waitingListeners = new ArrayList<>();

	/**
	 * Called after the read that is in progress.
	 */
	private final List<Runnable> currentListeners = new ArrayList<>();

	private boolean pausing;

	private int backoffMillis = INITIAL_BACKOFF_MILLIS;

	/**
	 * Creates a follower that does not read yet.
	 * @param recordLog client of the log
	 * @param topic topic to follow
	 * @param readPolicy how the topic is polled
	 * @param listener receives the records
	 * @param loop event loop of the daemon
	 * @param logEpoch epoch of the log, shared by all followers
	 * @param connections connections to the log, shared by all followers
	 */
	public TopicFollower(RecordLog recordLog, Topic topic, ReadPolicy readPolicy, TopicListener listener,
			EventLoop loop, LogEpoch logEpoch, LogConnections connections) {
		this.recordLog = recordLog;
		this.topic = topic;
		this.readPolicy = readPolicy;
		this.listener = listener;
		this.loop = loop;
		this.logEpoch = logEpoch;
		this.connections = connections;
		logEpoch.addRestorationListener(this::restart);
		connections.addSilenceListener(() -> this.currentRead.ifPresent(HedgedRead::repeat));
	}

	/**
	 * Reads a new snapshot, then follows the topic. Results of reads that were started
	 * before are ignored.
	 */
	public void start() {
		invalidate();
		this.snapshot.clear();
		startServingListeners();
		readSnapshotPage(Optional.empty());
	}

	private void startServingListeners() {
		this.currentListeners.addAll(this.waitingListeners);
		this.waitingListeners.clear();
	}

	/**
	 * Reads what the log holds now, without waiting for the time of the next read.
	 * @param onApplied called once the listener of this follower has received all of it;
	 * not called while the log cannot be read
	 */
	public void readNow(Runnable onApplied) {
		this.waitingListeners.add(onApplied);
		if (this.pausing) {
			invalidate();
			readNext();
		}
	}

	private void notifyApplied() {
		List<Runnable> listeners = List.copyOf(this.currentListeners);
		this.currentListeners.clear();
		listeners.forEach(Runnable::run);
	}

	private void restart() {
		boolean isStarted = this.generation > 0;
		if (!isStarted) {
			return;
		}
		if (this.nextBeforeRestoration.isEmpty()) {
			this.nextBeforeRestoration = this.next;
		}
		invalidate();
		runLater(ThreadLocalRandom.current().nextInt(MAX_RESTART_DELAY_MILLIS), this::start);
	}

	// Ignores the results of reads that are in progress, and tasks that are scheduled.
	private void invalidate() {
		this.generation++;
		this.pausing = false;
		this.currentRead.ifPresent(HedgedRead::cancel);
	}

	private void readSnapshotPage(Optional<String> afterKey) {
		request((waitMillis) -> this.recordLog.readSnapshot(this.topic, afterKey), 0,
				(page) -> addSnapshotPage(page, afterKey.isEmpty()));
	}

	private void addSnapshotPage(SnapshotPage page, boolean firstPage) {
		if (!isUsable(page.end())) {
			return;
		}
		if (firstPage) {
			this.snapshotEnd = page.end();
		}
		this.snapshot.addAll(page.records());
		if (page.continueAfterKey().isPresent()) {
			readSnapshotPage(page.continueAfterKey());
			return;
		}
		this.next = Optional.of(this.snapshotEnd);
		markAvailable();
		this.nextBeforeRestoration.ifPresent((before) -> this.listener.onRestored(before, this.snapshotEnd));
		this.nextBeforeRestoration = Optional.empty();
		this.listener.onSnapshot(List.copyOf(this.snapshot), this.snapshotEnd);
		this.snapshot.clear();
		notifyApplied();
		readNext();
	}

	private boolean isUsable(LogPosition end) {
		int generationBefore = this.generation;
		if (this.logEpoch.accept(end.epoch())) {
			return true;
		}
		if (generationBefore == this.generation) {
			handleFailure("response of epoch " + end.epoch() + " after a restoration of the log");
		}
		return false;
	}

	private void readNext() {
		this.pausing = false;
		startServingListeners();
		long fromOffset = this.next.orElseThrow().offset();
		request((waitMillis) -> this.recordLog.read(this.topic, fromOffset, waitMillis),
				this.readPolicy.maxWaitMillis(), this::handleBatch);
	}

	private void handleBatch(RecordBatch batch) {
		if (batch.offsetExpired()) {
			start();
			return;
		}
		if (!isUsable(batch.next())) {
			return;
		}
		this.next = Optional.of(batch.next());
		markAvailable();
		if (!batch.records().isEmpty()) {
			this.listener.onRecords(batch.records());
		}
		notifyApplied();
		this.pausing = true;
		runLater(this.waitingListeners.isEmpty() ? this.readPolicy.delayMillis() : 0, this::readNext);
	}

	private void markAvailable() {
		this.backoffMillis = INITIAL_BACKOFF_MILLIS;
		if (this.unavailable) {
			this.unavailable = false;
			this.listener.onAvailable();
		}
	}

	private <T> void request(IntFunction<CompletionStage<T>> read, int waitMillis, Consumer<T> onSuccess) {
		this.currentRead.ifPresent(HedgedRead::cancel);
		HedgedRead<T> nextRead = new HedgedRead<>(this.recordLog, this.loop, read, new HedgedRead.Listener<T>() {
			@Override
			public void onSuccess(T value) {
				runSafely(() -> onSuccess.accept(value));
			}

			@Override
			public void onFailure(Throwable failure) {
				handleFailure(String.valueOf(failure.getMessage()));
			}

			@Override
			public void onSilence() {
				TopicFollower.this.connections.reportSilence(TopicFollower.this.topic);
			}
		});
		this.currentRead = Optional.of(nextRead);
		nextRead.start(waitMillis);
	}

	// Whatever is thrown, errors included, must not end the chain of reads.
	private void runSafely(Runnable step) {
		try {
			step.run();
		}
		catch (Throwable ex) {
			// Ignores what the step has started before it failed.
			invalidate();
			handleFailure("unexpected exception: " + ex);
		}
	}

	private void handleFailure(String reason) {
		int delayMillis = ThreadLocalRandom.current().nextInt(this.backoffMillis / 2, this.backoffMillis + 1);
		this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, this.backoffMillis * 2);
		runLater(delayMillis, this::start);
		if (!this.unavailable) {
			this.unavailable = true;
			this.listener.onUnavailable(reason);
		}
	}

	private void runLater(int delayMillis, Runnable task) {
		int generationAtStart = this.generation;
		if (delayMillis == 0) {
			task.run();
			return;
		}
		this.loop.schedule(() -> {
			if (generationAtStart == this.generation) {
				task.run();
			}
		}, delayMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns whether the last read failed.
	 * @return true until a read succeeds
	 */
	public boolean isUnavailable() {
		return this.unavailable;
	}

}
