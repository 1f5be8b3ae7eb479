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
 * Reads one stream continuously by consecutive long polls, with exponential backoff after
 * failures.
 */
final class StreamFollower {

	private static final int LONG_POLL_MILLIS = 2000;

	private static final int OK = 200;

	private final PlatformClient platform;

	private final EventSink events;

	private final ScheduledExecutorService scheduler;

	private final StreamName stream;

	private final Backoff backoff = new Backoff();

	private long nextOffset;

	private volatile boolean stopped;

	StreamFollower(PlatformClient platform, EventSink events, ScheduledExecutorService scheduler, FollowStream action) {
		this.platform = platform;
		this.events = events;
		this.scheduler = scheduler;
		this.stream = action.stream();
		this.nextOffset = action.fromOffset();
	}

	/**
	 * Starts a long poll. Further polls follow until {@link #stop()} is called.
	 */
	void poll() {
		if (this.stopped) {
			return;
		}
		this.platform.readRecords(this.stream, this.nextOffset, LONG_POLL_MILLIS).whenComplete((response, failure) -> {
			if (!this.stopped) {
				handleResponse(response, failure);
			}
		});
	}

	private void handleResponse(Response response, Throwable failure) {
		try {
			if (failure != null) {
				throw new IOException(String.valueOf(failure.getMessage()));
			}
			if (response.getStatusCode() != OK) {
				throw new IOException("status " + response.getStatusCode());
			}
			handleRecords(PlatformJson.parseRecords(this.stream, response.getResponseBodyAsBytes()));
		}
		catch (IOException ex) {
			this.events.submit(new LogReadFailed(this.stream, String.valueOf(ex.getMessage())));
			this.scheduler.schedule(this::poll, this.backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void handleRecords(LogRecordsRead records) {
		this.backoff.reset();
		this.nextOffset = Math.max(this.nextOffset, records.nextOffset());
		this.events.submit(records);
		poll();
	}

	/**
	 * Stops reading. The response to a poll in progress is ignored.
	 */
	void stop() {
		this.stopped = true;
	}

}
