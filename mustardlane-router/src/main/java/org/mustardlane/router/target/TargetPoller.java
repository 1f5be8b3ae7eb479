package org.mustardlane.router.target;

import java.io.IOException;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.asynchttpclient.Response;

import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.PollTarget;
import org.mustardlane.core.event.TargetPollFailed;
import org.mustardlane.core.event.TargetReported;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.target.LoadReport;
import org.mustardlane.router.worker.EventSink;

/**
 * Asks targets for their load.
 *
 * <p>
 * Thread-safe.
 */
public final class TargetPoller {

	private static final int POLL_TIMEOUT_MILLIS = 1000;

	private static final int OK = 200;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final TargetClient client;

	private final EventSink events;

	/**
	 * Creates the poller.
	 * @param client the client of the targets
	 * @param events takes the reports
	 */
	public TargetPoller(TargetClient client, EventSink events) {
		this.client = client;
		this.events = events;
	}

	/**
	 * Asks one target.
	 * @param poll the target
	 */
	public void poll(PollTarget poll) {
		Target target = poll.target();
		this.client.pooledClient()
			.prepareGet(TargetClient.base(target) + "/load")
			.setRequestTimeout(Duration.ofMillis(POLL_TIMEOUT_MILLIS))
			.execute()
			.toCompletableFuture()
			.handle((response, failure) -> (failure != null) ? failed(target, String.valueOf(failure.getMessage()))
					: read(target, response))
			.thenAccept(this.events::submit);
	}

	private static NodeEvent read(Target target, Response response) {
		if (response.getStatusCode() != OK) {
			return failed(target, "status " + response.getStatusCode());
		}
		try {
			return new TargetReported(report(target, MAPPER.readTree(response.getResponseBodyAsBytes())));
		}
		catch (IOException ex) {
			return failed(target, "the report is not JSON");
		}
	}

	private static LoadReport report(Target target, JsonNode json) {
		return new LoadReport(target.id(), json.path("reportedAtMillis").asLong(), json.path("running").asInt(),
				json.path("waiting").asInt(), json.path("leaving").asBoolean());
	}

	private static TargetPollFailed failed(Target target, String detail) {
		return new TargetPollFailed(target.id(), detail);
	}

}
