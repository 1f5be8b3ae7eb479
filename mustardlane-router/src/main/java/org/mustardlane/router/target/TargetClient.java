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
 * Sends requests to engines and plain services.
 *
 * <p>
 * The client repeats nothing by itself. Work under a claim goes over a connection of its
 * own: a pooled connection that the target closes at the moment of sending would leave
 * its outcome unknown. Thread-safe.
 */
public final class TargetClient implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private static final int POOLED_IDLE_MILLIS = 10_000;

	private static final int CANCEL_TIMEOUT_MILLIS = 2000;

	private static final int SILENCE_CHECK_MILLIS = 250;

	private final AsyncHttpClient pooled;

	private final AsyncHttpClient unpooled;

	private final RouterClock clock;

	private final Timer timer;

	private final Set<TargetAttempt> running = ConcurrentHashMap.newKeySet();

	private volatile boolean closed;

	/**
	 * Creates the client.
	 * @param loops threads of the connections
	 * @param timer runs timeouts
	 * @param clock the time
	 */
	public TargetClient(EventLoopGroup loops, Timer timer, RouterClock clock) {
		this.clock = clock;
		this.timer = timer;
		this.pooled = new DefaultAsyncHttpClient(config(loops, true).setNettyTimer(timer).build());
		this.unpooled = new DefaultAsyncHttpClient(config(loops, false).setNettyTimer(timer).build());
		watchSilence();
	}

	private static DefaultAsyncHttpClientConfig.Builder config(EventLoopGroup loops, boolean keepAlive) {
		return new DefaultAsyncHttpClientConfig.Builder().setEventLoopGroup(loops)
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
	 * Prepares an attempt without sending anything.
	 * @param request what is to be sent
	 * @param observer is told what becomes of it
	 * @return the attempt
	 */
	public TargetAttempt prepare(AttemptRequest request, AttemptObserver observer) {
		return new TargetAttempt(request, observer, this.clock::nowMillis);
	}

	/**
	 * Sends an attempt.
	 * @param request what is sent
	 * @param attempt the attempt
	 */
	public void send(AttemptRequest request, TargetAttempt attempt) {
		this.running.add(attempt);
		AsyncHttpClient client = (request.start().fencingNumber() > 0) ? this.unpooled : this.pooled;
		client.executeRequest(httpRequest(request), attempt);
	}

	private Request httpRequest(AttemptRequest attempt) {
		StartAttempt start = attempt.start();
		boolean resume = start.kind() == AttemptKind.RESUME;
		RequestBuilder builder = new RequestBuilder(resume ? "GET" : "POST", true).setUrl(url(start));
		builder.setHeader(AnswerCheck.REQUEST_ID, attempt.attemptName())
			.setHeader("X-Priority", Integer.toString(start.serviceClass().ordinal()))
			.setRequestTimeout(Duration.ofMillis(Math.max(1, start.answerDeadlineMillis() - this.clock.nowMillis())));
		if (start.target().kind() == TargetKind.ENGINE) {
			builder.setHeader("TE", "trailers");
		}
		if (!resume) {
			addBody(builder, attempt);
		}
		return builder.build();
	}

	private static void addBody(RequestBuilder builder, AttemptRequest attempt) {
		StartAttempt start = attempt.start();
		builder.setBody(attempt.body());
		if (!attempt.contentType().isEmpty()) {
			builder.setHeader(HttpHeaderNames.CONTENT_TYPE, attempt.contentType());
		}
		attempt.chatHash().ifPresent((hash) -> builder.setHeader("X-Chat-Id", hash));
		attempt.idempotencyKey().ifPresent((key) -> builder.setHeader("Idempotency-Key", key));
		if (start.fencingNumber() > 0) {
			builder.setHeader("X-Fencing-Number", Long.toString(start.fencingNumber()));
		}
		if (start.kind() == AttemptKind.CONTINUE) {
			builder.setHeader("X-Continue-Offset", Long.toString(start.offsetBytes()));
		}
	}

	private static String url(StartAttempt start) {
		if (start.kind() == AttemptKind.RESUME) {
			return base(start.target()) + generationPath(start.generationId()) + "?offset=" + start.offsetBytes();
		}
		return base(start.target()) + start.path();
	}

	/**
	 * Tells an engine to drop a generation; nothing is made of the answer.
	 * @param target the engine
	 * @param generationId the generation
	 */
	public void cancelGeneration(Target target, String generationId) {
		this.pooled.prepareDelete(base(target) + generationPath(generationId))
			.setRequestTimeout(Duration.ofMillis(CANCEL_TIMEOUT_MILLIS))
			.execute();
	}

	private void watchSilence() {
		if (!this.closed) {
			this.timer.newTimeout((timeout) -> endSilentAttempts(), SILENCE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void endSilentAttempts() {
		this.running.forEach(TargetAttempt::endIfSilent);
		this.running.removeIf(TargetAttempt::isEnded);
		watchSilence();
	}

	AsyncHttpClient pooledClient() {
		return this.pooled;
	}

	static String base(Target target) {
		return "http://" + target.host() + ":" + target.port();
	}

	private static String generationPath(String generationId) {
		return "/generations/" + generationId;
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.pooled.close();
		this.unpooled.close();
	}

}
