package org.mustardlane.proof.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;

import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.RequestBuilder;

import org.mustardlane.proof.fleet.CatalogueYaml;

/**
 * HTTP client that sends requests without retries, as simple devices do, and records the
 * responses. Thread-safe.
 */
public final class Caller implements AutoCloseable {

	private static final Duration TIMEOUT = Duration.ofSeconds(120);

	private final AsyncHttpClient client = Dsl
		.asyncHttpClient(new DefaultAsyncHttpClientConfig.Builder().setMaxRequestRetry(0)
			.setRequestTimeout(TIMEOUT)
			.setReadTimeout(TIMEOUT)
			.setConnectTimeout(TIMEOUT)
			.setMaxConnections(-1)
			.setIoThreadsCount(2));

	/**
	 * Sends a request to a router.
	 * @param routerUrl the base URL of the router
	 * @param request the request to send
	 * @return a future of the result, which also completes normally if the call fails
	 */
	public CompletableFuture<CallResult> call(String routerUrl, CallRequest request) {
		return call(routerUrl, request, (bytes) -> {
		});
	}

	/**
	 * Sends a request to a router and reports the progress of the response.
	 * @param routerUrl the base URL of the router
	 * @param request the request to send
	 * @param progress receives the number of body bytes so far after each body part
	 * @return a future of the result, which also completes normally if the call fails
	 */
	public CompletableFuture<CallResult> call(String routerUrl, CallRequest request, IntConsumer progress) {
		RequestBuilder builder = Dsl.post(routerUrl + "/v1/" + request.entry())
			.setBody(request.body())
			.setHeader("X-Organisation", request.organisation())
			.setHeader("X-Organisation-Key", CatalogueYaml.apiKey(request.organisation()));
		request.chatId().ifPresent((chat) -> builder.setHeader("X-Chat-Id", chat));
		request.idempotencyKey().ifPresent((key) -> builder.setHeader("Idempotency-Key", key));
		request.timeoutMillis().ifPresent((millis) -> builder.setHeader("X-Timeout-Millis", millis.toString()));
		return execute(builder, progress);
	}

	/**
	 * Sends a request directly to an engine.
	 * @param engineUrl the base URL of the engine
	 * @param request the request to send
	 * @param requestId the request id to send
	 * @param progress receives the number of body bytes so far after each body part
	 * @return a future of the result, which also completes normally if the call fails
	 */
	public CompletableFuture<CallResult> callEngine(String engineUrl, CallRequest request, String requestId,
			IntConsumer progress) {
		RequestBuilder builder = Dsl.post(engineUrl + "/v1/" + request.entry())
			.setBody(request.body())
			.setHeader("X-Request-Id", requestId);
		request.chatId().ifPresent((chat) -> builder.setHeader("X-Chat-Id", chat));
		return execute(builder, progress).thenApply(CallResult::withTargetOutcome);
	}

	@Override
	public void close() {
		try {
			this.client.close();
		}
		catch (IOException ex) {
			// No call depends on these connections any more.
		}
	}

	private CompletableFuture<CallResult> execute(RequestBuilder builder, IntConsumer progress) {
		ResponseRecorder responseRecorder = new ResponseRecorder(progress);
		this.client.executeRequest(builder.build(), responseRecorder);
		return responseRecorder.result;
	}

	/**
	 * Records one response.
	 */
	private static final class ResponseRecorder implements AsyncHandler<Void> {

		private final CompletableFuture<CallResult> result = new CompletableFuture<>();

		private final IntConsumer progress;

		private final long sentAtNanos = System.nanoTime();

		private final Map<String, String> headers = new TreeMap<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		private long firstByteAtNanos;

		ResponseRecorder(IntConsumer progress) {
			this.progress = progress;
		}

		@Override
		public State onStatusReceived(HttpResponseStatus received) {
			this.status = received.getStatusCode();
			return State.CONTINUE;
		}

		@Override
		public State onHeadersReceived(HttpHeaders received) {
			received.forEach((field) -> this.headers.put(field.getKey().toLowerCase(Locale.ROOT), field.getValue()));
			return State.CONTINUE;
		}

		@Override
		public State onTrailingHeadersReceived(HttpHeaders received) {
			return onHeadersReceived(received);
		}

		@Override
		public State onBodyPartReceived(HttpResponseBodyPart part) {
			if (part.length() > 0) {
				if (this.firstByteAtNanos == 0) {
					this.firstByteAtNanos = System.nanoTime();
				}
				this.body.writeBytes(part.getBodyPartBytes());
				this.progress.accept(this.body.size());
			}
			return State.CONTINUE;
		}

		@Override
		public void onThrowable(Throwable error) {
			complete(Optional.of(error.toString()));
		}

		@Override
		public Void onCompleted() {
			complete(Optional.empty());
			return null;
		}

		private void complete(Optional<String> error) {
			this.result.complete(new CallResult(this.status, this.headers, this.body.toByteArray(), error,
					this.sentAtNanos, this.firstByteAtNanos, System.nanoTime()));
		}

	}

}
