package org.mustardlane.router.platform;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.asynchttpclient.Response;

import org.mustardlane.core.event.VmListRead;
import org.mustardlane.router.worker.EventSink;

/**
 * Polls the VM list of the platform and submits an event for each list that has changed.
 */
public final class VmListPoller {

	private static final Logger logger = LogManager.getLogger(VmListPoller.class);

	private static final int POLL_INTERVAL_MILLIS = 1000;

	private static final int OK = 200;

	private static final int NOT_MODIFIED = 304;

	private final PlatformClient platform;

	private final EventSink events;

	private volatile String etag = "";

	/**
	 * Creates the poller.
	 * @param platform client of the platform
	 * @param events receives the lists
	 */
	public VmListPoller(PlatformClient platform, EventSink events) {
		this.platform = platform;
		this.events = events;
	}

	/**
	 * Starts polling.
	 * @param scheduler starts the polls
	 */
	public void start(ScheduledExecutorService scheduler) {
		scheduler.scheduleWithFixedDelay(this::poll, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	void poll() {
		this.platform.readVmList(this.etag).whenComplete((response, failure) -> {
			if (failure != null) {
				logger.debug("Could not read the VM list: {}", failure.getMessage());
			}
			else if (response.getStatusCode() == OK) {
				handleList(response);
			}
			else if (response.getStatusCode() != NOT_MODIFIED) {
				logger.debug("Could not read the VM list: status {}", response.getStatusCode());
			}
		});
	}

	private void handleList(Response response) {
		try {
			this.events.submit(new VmListRead(PlatformJson.parseVmList(response.getResponseBodyAsBytes())));
			this.etag = String.valueOf(response.getHeaders().get("ETag", ""));
		}
		catch (IOException ex) {
			logger.warn("Ignored a malformed VM list: {}", ex.getMessage());
		}
	}

}
