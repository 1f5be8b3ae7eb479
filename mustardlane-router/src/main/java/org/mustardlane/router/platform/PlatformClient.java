package org.mustardlane.router.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.util.Timer;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Response;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.AppendResult;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;

/**
 * HTTP client for the log and the VM list of the platform.
 *
 * <p>
 * The client does not retry requests. Thread-safe.
 */
public final class PlatformClient implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private static final int APPEND_TIMEOUT_MILLIS = 3000;

	private static final int VM_LIST_TIMEOUT_MILLIS = 3000;

	private static final int READ_TIMEOUT_MARGIN_MILLIS = 3000;

	private static final int MAX_RECORDS_PER_READ = 500;

	private static final int OK = 200;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final long NO_OFFSET = -1;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final String baseUrl;

	private final AsyncHttpClient client;

	/**
	 * Creates the client.
	 * @param baseUrl the URL of the platform
	 * @param eventLoops event loops of the connections
	 * @param timer timer for timeouts
	 */
	public PlatformClient(String baseUrl, EventLoopGroup eventLoops, Timer timer) {
		this.baseUrl = baseUrl.endsWith("/") ? baseUrl.substring(0, baseUrl.length() - 1) : baseUrl;
		this.client = new DefaultAsyncHttpClient(
				new DefaultAsyncHttpClientConfig.Builder().setEventLoopGroup(eventLoops)
					.setNettyTimer(timer)
					.setMaxRequestRetry(0)
					.setFollowRedirect(false)
					.setCookieStore(null)
					.setConnectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
					.setReadTimeout(Duration.ofMillis(-1))
					.build());
	}

	/**
	 * Appends records to a stream atomically.
	 * @param action the stream and the records
	 * @return the result of the append; never completes exceptionally
	 */
	public CompletableFuture<LogAppendEnded> append(AppendLog action) {
		return this.client.preparePost(recordsUrl(action.stream()))
			.setHeader("Content-Type", "application/json")
			.setBody(requestBody(action).toString())
			.setRequestTimeout(Duration.ofMillis(APPEND_TIMEOUT_MILLIS))
			.execute()
			.toCompletableFuture()
			.handle((response, failure) -> (failure != null)
					? appendEndedEvent(action, resultOfFailure(failure), NO_OFFSET)
					: resultOfResponse(action, response));
	}

	private static ObjectNode requestBody(AppendLog action) {
		ObjectNode json = MAPPER.createObjectNode();
		ArrayNode records = json.putArray("records");
		for (RecordBody body : action.records()) {
			records.addObject().put("type", body.type()).put("body", body.body());
		}
		return json;
	}

	private static AppendResult resultOfFailure(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		// Only a failed connect proves that nothing was sent.
		return (cause instanceof ConnectException) ? AppendResult.REJECTED : AppendResult.UNKNOWN;
	}

	private static LogAppendEnded resultOfResponse(AppendLog action, Response response) {
		if (response.getStatusCode() == SERVICE_UNAVAILABLE) {
			return appendEndedEvent(action, AppendResult.REJECTED, NO_OFFSET);
		}
		if (response.getStatusCode() != OK) {
			return appendEndedEvent(action, AppendResult.UNKNOWN, NO_OFFSET);
		}
		try {
			long firstOffset = MAPPER.readTree(response.getResponseBodyAsBytes()).path("firstOffset").asLong(NO_OFFSET);
			return appendEndedEvent(action, AppendResult.APPENDED, firstOffset);
		}
		catch (IOException ex) {
			return appendEndedEvent(action, AppendResult.UNKNOWN, NO_OFFSET);
		}
	}

	private static LogAppendEnded appendEndedEvent(AppendLog action, AppendResult result, long firstOffset) {
		return new LogAppendEnded(action.stream(), action.appendId(), result, firstOffset);
	}

	/**
	 * Reads records of a stream.
	 * @param stream the stream
	 * @param fromOffset offset of the first record to read
	 * @param waitMillis maximum time that the platform waits for a new record (long poll)
	 * @return the HTTP response
	 */
	CompletableFuture<Response> readRecords(StreamName stream, long fromOffset, int waitMillis) {
		return this.client
			.prepareGet(recordsUrl(stream) + "?from=" + fromOffset + "&limit=" + MAX_RECORDS_PER_READ + "&waitMillis="
					+ waitMillis)
			.setRequestTimeout(Duration.ofMillis(waitMillis + READ_TIMEOUT_MARGIN_MILLIS))
			.execute()
			.toCompletableFuture();
	}

	/**
	 * Reads the VM list.
	 * @param etag entity tag of the list last read, empty if none was read
	 * @return the HTTP response
	 */
	CompletableFuture<Response> readVmList(String etag) {
		var request = this.client.prepareGet(this.baseUrl + "/vms")
			.setRequestTimeout(Duration.ofMillis(VM_LIST_TIMEOUT_MILLIS));
		if (!etag.isEmpty()) {
			request.setHeader("If-None-Match", etag);
		}
		return request.execute().toCompletableFuture();
	}

	private String recordsUrl(StreamName stream) {
		return this.baseUrl + "/streams/" + stream + "/records";
	}

	@Override
	public void close() throws IOException {
		this.client.close();
	}

}
