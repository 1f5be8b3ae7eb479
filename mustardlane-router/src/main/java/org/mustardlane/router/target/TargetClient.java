package org.mustardlane.router.target;

import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.Timer;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;

import org.mustardlane.core.event.StartAttempt;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.core.model.execution.AttemptKind;
import org.mustardlane.router.worker.RouterClock;

/**
 * HTTP client that sends requests to engines and plain services.
 *
 * <p>
 * The client does not retry requests. A request under a claim gets a new connection,
 * because a pooled connection that the target closes during the send would leave the
 * outcome unknown. Thread-safe.
 */
public final class TargetClient implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private static final int POOLED_IDLE_MILLIS = 10_000;

	private static final int CANCEL_TIMEOUT_MILLIS = 2000;

	private static final int IDLE_CHECK_MILLIS = 250;

	private final AsyncHttpClient pooledClient;

	private final AsyncHttpClient unpooledClient;

	private final RouterClock clock;

	private final Timer timer;

	private final Set<TargetAttempt> runningAttempts = ConcurrentHashMap.newKeySet();

	private volatile boolean closed;

	/**
	 * Creates the client.
	 * @param eventLoops event loops of the connections
	 * @param timer timer for timeouts
	 * @param clock clock of the process
	 */
	public TargetClient(EventLoopGroup eventLoops, Timer timer, RouterClock clock) {
		this.clock = clock;
		this.timer = timer;
		this.pooledClient = new DefaultAsyncHttpClient(clientConfig(eventLoops, true).setNettyTimer(timer).build());
		this.unpooledClient = new DefaultAsyncHttpClient(clientConfig(eventLoops, false).setNettyTimer(timer).build());
		scheduleIdleCheck();
	}

	private static DefaultAsyncHttpClientConfig.Builder clientConfig(EventLoopGroup eventLoops, boolean keepAlive) {
		return new DefaultAsyncHttpClientConfig.Builder().setEventLoopGroup(eventLoops)
			.setMaxRequestRetry(0)
			.setFollowRedirect(false)
			.setKeepAlive(keepAlive)
			.setEnableAutomaticDecompression(false)
			.setConnectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
			.setReadTimeout(Duration.ofMillis(-1))
			.setPooledConnectionIdleTimeout(Duration.ofMillis(POOLED_IDLE_MILLIS))
			.setTcpNoDelay(true)
			.setCookieStore(null)
			.addChannelOption(ChannelOption.AUTO_READ, false)
			.setHttpAdditionalChannelInitializer((channel) -> channel.pipeline().addFirst(new ReadGate()));
	}

	/**
	 * Creates an attempt without sending it.
	 * @param request the request to send to the target
	 * @param observer receives the progress and the result
	 * @return the attempt
	 */
	public TargetAttempt prepare(AttemptRequest request, AttemptObserver observer) {
		return new TargetAttempt(request, observer, this.clock::nowMillis);
	}

	/**
	 * Sends an attempt.
	 * @param request the request to send to the target
	 * @param attempt the attempt created for the request
	 */
	public void send(AttemptRequest request, TargetAttempt attempt) {
		this.runningAttempts.add(attempt);
		AsyncHttpClient client = (request.action().fencingNumber() > 0) ? this.unpooledClient : this.pooledClient;
		client.executeRequest(httpRequest(request), attempt);
	}

	private Request httpRequest(AttemptRequest request) {
		StartAttempt action = request.action();
		boolean isResume = action.kind() == AttemptKind.RESUME;
		RequestBuilder builder = new RequestBuilder(isResume ? "GET" : "POST", true).setUrl(url(action));
		builder.setHeader(ResponseValidator.REQUEST_ID_HEADER, request.attemptName())
			.setHeader("X-Priority", Integer.toString(action.serviceClass().ordinal()))
			.setRequestTimeout(Duration.ofMillis(Math.max(1, action.answerDeadlineMillis() - this.clock.nowMillis())));
		if (action.target().kind() == TargetKind.ENGINE) {
			builder.setHeader("TE", "trailers");
		}
		if (!isResume) {
			addBody(builder, request);
		}
		return builder.build();
	}

	private static void addBody(RequestBuilder builder, AttemptRequest request) {
		StartAttempt action = request.action();
		builder.setBody(request.body());
		if (!request.contentType().isEmpty()) {
			builder.setHeader(HttpHeaderNames.CONTENT_TYPE, request.contentType());
		}
		request.chatHash().ifPresent((hash) -> builder.setHeader("X-Chat-Id", hash));
		request.idempotencyKey().ifPresent((key) -> builder.setHeader("Idempotency-Key", key));
		if (action.fencingNumber() > 0) {
			builder.setHeader("X-Fencing-Number", Long.toString(action.fencingNumber()));
		}
		if (action.kind() == AttemptKind.CONTINUE) {
			builder.setHeader("X-Continue-Offset", Long.toString(action.offsetBytes()));
		}
	}

	private static String url(StartAttempt action) {
		if (action.kind() == AttemptKind.RESUME) {
			return baseUrl(action.target()) + generationPath(action.generationId()) + "?offset=" + action.offsetBytes();
		}
		return baseUrl(action.target()) + action.path();
	}

	/**
	 * Requests that an engine cancel a generation. The response is ignored.
	 * @param target the engine
	 * @param generationId the generation
	 */
	public void cancelGeneration(Target target, String generationId) {
		this.pooledClient.prepareDelete(baseUrl(target) + generationPath(generationId))
			.setRequestTimeout(Duration.ofMillis(CANCEL_TIMEOUT_MILLIS))
			.execute();
	}

	private void scheduleIdleCheck() {
		if (!this.closed) {
			this.timer.newTimeout((timeout) -> endIdleAttempts(), IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void endIdleAttempts() {
		this.runningAttempts.forEach(TargetAttempt::endIfIdle);
		this.runningAttempts.removeIf(TargetAttempt::isEnded);
		scheduleIdleCheck();
	}

	AsyncHttpClient pooledClient() {
		return this.pooledClient;
	}

	static String baseUrl(Target target) {
		return "http://" + target.host() + ":" + target.port();
	}

	private static String generationPath(String generationId) {
		return "/generations/" + generationId;
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.pooledClient.close();
		this.unpooledClient.close();
	}

}
