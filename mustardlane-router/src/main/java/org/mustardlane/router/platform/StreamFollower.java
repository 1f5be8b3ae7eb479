package org.mustardlane.router.platform;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.asynchttpclient.Response;

import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.LogReadFailed;
import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.router.worker.EventSink;

/**
 * Reads one stream on and on: one long poll at a time, with growing pauses while it
 * fails.
 */
final class StreamFollower {

	private static final int WAIT_MILLIS = 2000;

	private static final int OK = 200;

	private final PlatformClient platform;

	private final EventSink events;

	private final ScheduledExecutorService timer;

	private final StreamName stream;

	private final Backoff backoff = new Backoff();

	private long nextOffset;

	private volatile boolean stopped;

	StreamFollower(PlatformClient platform, EventSink events, ScheduledExecutorService timer, FollowStream follow) {
		this.platform = platform;
		this.events = events;
		this.timer = timer;
		this.stream = follow.stream();
		this.nextOffset = follow.fromOffset();
	}

	/**
	 * Reads once and goes on after that.
	 */
	void read() {
		if (this.stopped) {
			return;
		}
		this.platform.read(this.stream, this.nextOffset, WAIT_MILLIS).whenComplete((response, failure) -> {
			if (!this.stopped) {
				take(response, failure);
			}
		});
	}

	private void take(Response response, Throwable failure) {
		try {
			if (failure != null) {
				throw new IOException(String.valueOf(failure.getMessage()));
			}
			if (response.getStatusCode() != OK) {
				throw new IOException("status " + response.getStatusCode());
			}
			taken(PlatformJson.records(this.stream, response.getResponseBodyAsBytes()));
		}
		catch (IOException ex) {
			this.events.submit(new LogReadFailed(this.stream, String.valueOf(ex.getMessage())));
			this.timer.schedule(this::read, this.backoff.failureMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void taken(LogRecordsRead records) {
		this.backoff.reset();
		this.nextOffset = Math.max(this.nextOffset, records.nextOffset());
		this.events.submit(records);
		read();
	}

	/**
	 * Stops reading; an answer that is still to come is dropped.
	 */
	void stop() {
		this.stopped = true;
	}

}
