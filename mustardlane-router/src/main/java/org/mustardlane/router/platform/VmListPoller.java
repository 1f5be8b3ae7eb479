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
 * Reads the VM list at a fixed interval and passes on what has changed.
 */
public final class VmListPoller {

	private static final Logger logger = LogManager.getLogger(VmListPoller.class);

	private static final int PERIOD_MILLIS = 1000;

	private static final int OK = 200;

	private static final int NOT_MODIFIED = 304;

	private final PlatformClient platform;

	private final EventSink events;

	private volatile String etag = "";

	/**
	 * Creates the poller.
	 * @param platform the platform
	 * @param events takes the lists
	 */
	public VmListPoller(PlatformClient platform, EventSink events) {
		this.platform = platform;
		this.events = events;
	}

	/**
	 * Starts to read.
	 * @param timer the thread that starts the reads
	 */
	public void start(ScheduledExecutorService timer) {
		timer.scheduleWithFixedDelay(this::poll, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	void poll() {
		this.platform.readVms(this.etag).whenComplete((response, failure) -> {
			if (failure != null) {
				logger.debug("The VM list can not be read: {}", failure.getMessage());
			}
			else if (response.getStatusCode() == OK) {
				take(response);
			}
			else if (response.getStatusCode() != NOT_MODIFIED) {
				logger.debug("The VM list can not be read: status {}", response.getStatusCode());
			}
		});
	}

	private void take(Response response) {
		try {
			this.events.submit(new VmListRead(PlatformJson.vmList(response.getResponseBodyAsBytes())));
			this.etag = String.valueOf(response.getHeaders().get("ETag", ""));
		}
		catch (IOException ex) {
			logger.warn("The VM list is not as agreed: {}", ex.getMessage());
		}
	}

}
