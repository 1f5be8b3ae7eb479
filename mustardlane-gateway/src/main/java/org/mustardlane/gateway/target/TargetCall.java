package org.mustardlane.gateway.target;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

import org.mustardlane.core.retry.ConnectionReusePolicy;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.wire.ResponseHead;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * A single call to a single target, from sending the request to the end of the response.
 *
 * <p>
 * Responses that carry another request id are discarded up to a limit, and the call keeps
 * waiting for the matching response. Confined to the event loop of the daemon.
 */
public final class TargetCall {

	/**
	 * A target sends at most a late response to an earlier request in front of the
	 * matching one; without a limit it could occupy the connection for as long as it
	 * sends.
	 */
	private static final int MAX_DISCARDED_BYTES = 1_048_576;

	private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

	private static final int MILLIS_PER_SECOND = 1000;

	private final String requestId;

	private final HttpMethod method;

	private final RequestSource requestSource;

	private final byte[] body;

	private final CallListener listener;

	private final WireDialect dialect;

	private final MonotonicClock clock;

	private PooledConnection connection;

	private boolean sent;

	private boolean ended;

	private boolean headReceived;

	private boolean matchingResponse;

	private boolean surplusReceived;

	private int discardedBytes;

	private HttpResponse response;

	/**
	 * Creates a call that is not sent yet.
	 * @param requestId id of the call
	 * @param method method of the request
	 * @param requestSource creates the head of the request
	 * @param body body of the request
	 * @param listener receives the events of the call
	 * @param dialect reads the head of the response
	 * @param clock monotonic clock
	 */
	TargetCall(String requestId, HttpMethod method, RequestSource requestSource, byte[] body, CallListener listener,
			WireDialect dialect, MonotonicClock clock) {
		this.requestId = requestId;
		this.method = method;
		this.requestSource = requestSource;
		this.body = body;
		this.listener = listener;
		this.dialect = dialect;
		this.clock = clock;
	}

	/**
	 * Assigns the connection that carries the call.
	 * @param targetConnection the connection
	 */
	void assign(PooledConnection targetConnection) {
		this.connection = targetConnection;
	}

	/**
	 * Sends the request on the established connection, unless the call has ended or must
	 * not be sent any more. In the latter case the listener receives no event; the
	 * deadline of the call ends it.
	 */
	void sendRequest() {
		Optional<HttpRequest> head = this.ended ? Optional.empty() : this.requestSource.createRequest();
		if (head.isEmpty()) {
			this.ended = true;
			this.connection.close();
			return;
		}
		this.sent = true;
		setFramingHeaders(head.get().headers());
		this.connection.write(head.get(), this.body);
	}

	private void setFramingHeaders(HttpHeaders headers) {
		if (isHeadRequest()) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		if (this.body.length > 0 || HttpMethod.POST.equals(this.method) || HttpMethod.PUT.equals(this.method)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, this.body.length);
		}
	}

	private boolean isHeadRequest() {
		return HttpMethod.HEAD.equals(this.method);
	}

	/**
	 * Handles a decoded part of what the target sent.
	 * @param object the part
	 */
	void handle(HttpObject object) {
		if (this.ended) {
			return;
		}
		if (object.decoderResult().isFailure()) {
			this.headReceived = true;
			failAndClose("not HTTP: " + object.decoderResult().cause().getMessage());
			return;
		}
		if (object instanceof HttpResponse nextResponse) {
			handleHead(nextResponse);
		}
		if (!this.ended && object instanceof HttpContent content) {
			handleContent(content);
		}
	}

	private void handleHead(HttpResponse nextResponse) {
		this.headReceived = true;
		this.matchingResponse = false;
		if (nextResponse.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			return;
		}
		ResponseHead responseHead = this.dialect.readResponse(nextResponse, this.clock.nowMillis());
		if (responseHead.requestId().filter(this.requestId::equals).isEmpty()) {
			this.surplusReceived = true;
			return;
		}
		this.matchingResponse = true;
		this.response = nextResponse;
		this.listener.onHead(responseHead);
	}

	private void handleContent(HttpContent content) {
		if (!this.matchingResponse) {
			discard(content);
			return;
		}
		if (content.content().isReadable()) {
			this.listener.onContent(content.content());
		}
		if (!this.ended && content instanceof LastHttpContent) {
			this.ended = true;
			this.connection.endCall(isConnectionReusable(), this.clock.nowMillis(), targetIdleMillis());
			this.listener.onComplete();
		}
	}

	private void discard(HttpContent content) {
		this.discardedBytes += content.content().readableBytes();
		if (this.discardedBytes > MAX_DISCARDED_BYTES) {
			failAndClose("over " + MAX_DISCARDED_BYTES + " bytes that belong to no request");
		}
	}

	private boolean isConnectionReusable() {
		boolean isDelimited = HttpUtil.isTransferEncodingChunked(this.response)
				|| HttpUtil.isContentLengthSet(this.response);
		return isDelimited && !this.surplusReceived && !isHeadRequest() && HttpUtil.isKeepAlive(this.response);
	}

	// A target announces after how many seconds it closes an idle connection. Half of
	// that leaves time for a request on its way.
	private long targetIdleMillis() {
		Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(this.response.headers().get(HttpHeaderNames.KEEP_ALIVE, ""));
		return timeout.find() ? Long.parseLong(timeout.group(1)) * MILLIS_PER_SECOND / 2
				: ConnectionReusePolicy.longestIdleMillis();
	}

	/**
	 * Ends the call because its connection could not be established or has ended.
	 * @param detail description of the failure
	 */
	void fail(String detail) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.listener.onFailure(failureKind(), detail);
	}

	private CallFailure failureKind() {
		if (!this.sent) {
			return CallFailure.NOT_SENT;
		}
		return isUnansweredOnReusedConnection() ? CallFailure.DROPPED_CONNECTION : CallFailure.BROKEN;
	}

	/**
	 * Returns whether the call was sent on a connection that carried other calls before,
	 * and nothing has arrived since.
	 * @return true if the target may have dropped the connection before the call
	 */
	public boolean isUnansweredOnReusedConnection() {
		return this.connection.isReused() && !this.headReceived;
	}

	private void failAndClose(String detail) {
		this.connection.close();
		fail(detail);
	}

	/**
	 * Cancels the call; the listener receives no more events.
	 */
	public void cancel() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.connection.close();
	}

	/**
	 * Returns whether any byte may have reached the target.
	 * @return true once the request was passed to the connection
	 */
	public boolean isSent() {
		return this.sent;
	}

	/**
	 * Resumes or suspends reading from the target, so that a response occupies no more
	 * memory than its caller consumes.
	 * @param autoRead true to read, false to suspend reading
	 */
	public void setAutoRead(boolean autoRead) {
		if (!this.ended) {
			this.connection.setAutoRead(autoRead);
		}
	}

}
