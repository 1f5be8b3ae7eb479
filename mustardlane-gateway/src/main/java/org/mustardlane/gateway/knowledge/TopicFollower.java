package org.mustardlane.gateway.knowledge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;

/**
 * Keeps reading one topic: first the newest record of each key, then what follows.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class TopicFollower {

	private static final int FIRST_BACKOFF_MILLIS = 150;

	private static final int LONGEST_BACKOFF_MILLIS = 1000;

	private final RecordLog log;

	private final Topic topic;

	private final FollowPace pace;

	private final TopicListener listener;

	private final EventLoop loop;

	private final List<KeyedRecord> listing = new ArrayList<>();

	private long listingEndOffset;

	private long nextOffset;

	private int round;

	private boolean lost;

	private int backoffMillis = FIRST_BACKOFF_MILLIS;

	/**
	 * Creates a follower that does not read yet.
	 * @param log the log
	 * @param topic what to follow
	 * @param pace how often to read
	 * @param listener is told what was read
	 * @param loop event loop of the daemon
	 */
	public TopicFollower(RecordLog log, Topic topic, FollowPace pace, TopicListener listener, EventLoop loop) {
		this.log = log;
		this.topic = topic;
		this.pace = pace;
		this.listener = listener;
		this.loop = loop;
	}

	/**
	 * Reads all newest records, then follows. What an earlier call still waits for is
	 * dropped.
	 */
	public void start() {
		this.round++;
		this.listing.clear();
		listPage(Optional.empty());
	}

	private void listPage(Optional<String> after) {
		handle(this.log.newest(this.topic, after), (page) -> takePage(page, after.isEmpty()));
	}

	private void takePage(KeyedPage page, boolean first) {
		if (first) {
			this.listingEndOffset = page.endOffset();
		}
		this.listing.addAll(page.records());
		if (page.continueAfter().isPresent()) {
			listPage(page.continueAfter());
			return;
		}
		this.nextOffset = this.listingEndOffset;
		readable();
		this.listener.listed(List.copyOf(this.listing), this.listingEndOffset);
		this.listing.clear();
		readOn();
	}

	private void readOn() {
		handle(this.log.read(this.topic, this.nextOffset, this.pace.waitMillis()), this::takeRead);
	}

	private void takeRead(LogRead read) {
		if (read.expired()) {
			start();
			return;
		}
		this.nextOffset = Math.max(this.nextOffset, read.nextOffset());
		readable();
		if (!read.records().isEmpty()) {
			this.listener.changed(read.records());
		}
		later(this.pace.pauseMillis(), this::readOn);
	}

	private void readable() {
		this.backoffMillis = FIRST_BACKOFF_MILLIS;
		if (this.lost) {
			this.lost = false;
			this.listener.regained();
		}
	}

	private <T> void handle(CompletionStage<T> stage, Consumer<T> next) {
		int begunIn = this.round;
		stage.whenComplete((value, failure) -> this.loop.execute(() -> {
			if (begunIn != this.round) {
				return;
			}
			if (failure != null) {
				failed(String.valueOf(failure.getMessage()));
			}
			else {
				next.accept(value);
			}
		}));
	}

	private void failed(String reason) {
		if (!this.lost) {
			this.lost = true;
			this.listener.lost(reason);
		}
		int wait = ThreadLocalRandom.current().nextInt(this.backoffMillis / 2, this.backoffMillis + 1);
		this.backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS, this.backoffMillis * 2);
		later(wait, this::start);
	}

	private void later(int delayMillis, Runnable task) {
		int begunIn = this.round;
		if (delayMillis == 0) {
			task.run();
			return;
		}
		this.loop.schedule(() -> {
			if (begunIn == this.round) {
				task.run();
			}
		}, delayMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Tells whether the last read failed.
	 * @return true until a read succeeds
	 */
	public boolean isLost() {
		return this.lost;
	}

}
