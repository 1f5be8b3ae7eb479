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
 * Polls targets for their load.
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
	 * @param client the HTTP client for the targets
	 * @param events receives load reports and failed polls
	 */
	public TargetPoller(TargetClient client, EventSink events) {
		this.client = client;
		this.events = events;
	}

	/**
	 * Polls one target.
	 * @param action the action that names the target
	 */
	public void poll(PollTarget action) {
		Target target = action.target();
		this.client.pooledClient()
			.prepareGet(TargetClient.baseUrl(target) + "/load")
			.setRequestTimeout(Duration.ofMillis(POLL_TIMEOUT_MILLIS))
			.execute()
			.toCompletableFuture()
			.handle((response, failure) -> (failure != null)
					? pollFailedEvent(target, String.valueOf(failure.getMessage())) : parseResponse(target, response))
			.thenAccept(this.events::submit);
	}

	private static NodeEvent parseResponse(Target target, Response response) {
		if (response.getStatusCode() != OK) {
			return pollFailedEvent(target, "status " + response.getStatusCode());
		}
		try {
			return new TargetReported(parseReport(target, MAPPER.readTree(response.getResponseBodyAsBytes())));
		}
		catch (IOException ex) {
			return pollFailedEvent(target, "the report is not JSON");
		}
	}

	private static LoadReport parseReport(Target target, JsonNode json) {
		return new LoadReport(target.id(), json.path("reportedAtMillis").asLong(), json.path("running").asInt(),
				json.path("waiting").asInt(), json.path("leaving").asBoolean());
	}

	private static TargetPollFailed pollFailedEvent(Target target, String detail) {
		return new TargetPollFailed(target.id(), detail);
	}

}
