package org.mustardlane.router.caller;

import java.io.ByteArrayOutputStream;
import java.util.OptionalLong;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import org.mustardlane.core.message.StoredResponse;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.router.answer.ResponseHead;
import org.mustardlane.router.answer.ResponseSink;

/**
 * Response to one request of a caller.
 *
 * <p>
 * Small responses of a known length and all responses to HTTP/1.0 callers are buffered
 * and sent as a whole; others are streamed in chunks, with the outcome in a trailer.
 * Thread-safe: all work is done on the event loop of the connection.
 */
public final class CallerResponse implements ResponseSink {

	private static final String PENDING = "pending";

	private static final String REQUEST_ID_HEADER = "X-Request-Id";

	private final Channel channel;

	private final RequestId requestId;

	private final boolean chunksAllowed;

	private final int bufferLimitBytes;

	private final CallerConnection connection;

	private State state = State.NEW;

	private ResponseHead head = new ResponseHead(0, "", OptionalLong.empty());

	private ByteArrayOutputStream buffer = new ByteArrayOutputStream(0);

	private Runnable pendingOnReady = CallerResponse::doNothing;

	/**
	 * Creates the response.
	 * @param channel channel of the connection
	 * @param requestId id of the request
	 * @param chunksAllowed whether the caller supports chunked transfer encoding, which
	 * HTTP/1.0 callers do not
	 * @param bufferLimitBytes largest response that is buffered
	 * @param connection the connection, which writes the last message of the response
	 */
	CallerResponse(Channel channel, RequestId requestId, boolean chunksAllowed, int bufferLimitBytes,
			CallerConnection connection) {
		this.channel = channel;
		this.requestId = requestId;
		this.chunksAllowed = chunksAllowed;
		this.bufferLimitBytes = bufferLimitBytes;
		this.connection = connection;
	}

	private static void doNothing() {
	}

	@Override
	public void begin(ResponseHead responseHead) {
		this.channel.eventLoop().execute(() -> {
			if (this.state == State.NEW) {
				this.head = responseHead;
				beginOnEventLoop();
			}
		});
	}

	@Override
	public void write(byte[] part, Runnable onReady) {
		this.channel.eventLoop().execute(() -> writeOnEventLoop(part, onReady));
	}

	@Override
	public void finish() {
		this.channel.eventLoop().execute(this::finishOnEventLoop);
	}

	@Override
	public void abort(Refusal refusal) {
		this.channel.eventLoop().execute(() -> endWithRefusal(RefusalResponses.of(refusal)));
	}

	@Override
	public boolean buffersUntilComplete(ResponseHead responseHead) {
		OptionalLong length = responseHead.contentLengthBytes();
		return length.isPresent() && length.getAsLong() <= this.bufferLimitBytes;
	}

	@Override
	public void restart() {
		this.channel.eventLoop().execute(() -> {
			if (this.state == State.BUFFERING) {
				this.state = State.NEW;
				this.buffer = new ByteArrayOutputStream(0);
			}
		});
	}

	/**
	 * Sends a stored response.
	 * @param storedResponse the response
	 */
	public void send(StoredResponse storedResponse) {
		this.channel.eventLoop().execute(() -> {
			if (this.state == State.NEW) {
				this.head = new ResponseHead(storedResponse.status(), storedResponse.contentType(),
						OptionalLong.empty());
				endResponse(fullResponse(storedResponse.body()));
			}
		});
	}

	/**
	 * Returns whether the last message of the response has been written; must be called
	 * on the event loop.
	 * @return whether the response has ended
	 */
	boolean isEnded() {
		return this.state == State.ENDED;
	}

	/**
	 * Requests the next part from the source after the connection has become writable
	 * again or has been closed; must be called on the event loop.
	 */
	void resume() {
		Runnable onReady = this.pendingOnReady;
		this.pendingOnReady = CallerResponse::doNothing;
		onReady.run();
	}

	private void beginOnEventLoop() {
		if (buffersUntilComplete(this.head) || !this.chunksAllowed) {
			this.state = State.BUFFERING;
			return;
		}
		startStreaming();
	}

	private void startStreaming() {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(this.head.status()));
		setCommonHeaders(response.headers(), PENDING).set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
			.set(HttpHeaderNames.TRAILER, RefusalResponses.OUTCOME_HEADER);
		this.connection.setConnectionHeader(response);
		this.state = State.STREAMING;
		this.channel.writeAndFlush(response);
	}

	private void writeOnEventLoop(byte[] part, Runnable onReady) {
		if (this.state == State.BUFFERING) {
			addToBuffer(part);
			onReady.run();
			return;
		}
		if (this.state != State.STREAMING || !this.channel.isActive()) {
			onReady.run();
			return;
		}
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
		if (this.channel.isWritable()) {
			onReady.run();
		}
		else {
			this.pendingOnReady = onReady;
		}
	}

	private void addToBuffer(byte[] part) {
		this.buffer.writeBytes(part);
		if (this.buffer.size() <= this.bufferLimitBytes) {
			return;
		}
		byte[] bytes = this.buffer.toByteArray();
		this.buffer = new ByteArrayOutputStream(0);
		if (this.chunksAllowed) {
			startStreaming();
			this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
			return;
		}
		endWithRefusal(RefusalResponses.of(ProtocolError.ANSWER_TOO_LARGE, Outcome.UNKNOWN, ""));
		this.connection.reportCancelledRequest(this.requestId);
	}

	private void finishOnEventLoop() {
		if (this.state == State.BUFFERING) {
			endResponse(fullResponse(this.buffer.toByteArray()));
		}
		else if (this.state == State.STREAMING) {
			LastHttpContent last = new DefaultLastHttpContent();
			last.trailingHeaders().set(RefusalResponses.OUTCOME_HEADER, RefusalResponses.outcomeText(Outcome.ANSWERED));
			endResponse(last);
		}
	}

	private FullHttpResponse fullResponse(byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(this.head.status()), Unpooled.wrappedBuffer(body));
		setCommonHeaders(response.headers(), RefusalResponses.outcomeText(Outcome.ANSWERED))
			.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		return response;
	}

	private HttpHeaders setCommonHeaders(HttpHeaders headers, String outcome) {
		if (!this.head.contentType().isEmpty()) {
			headers.set(HttpHeaderNames.CONTENT_TYPE, this.head.contentType());
		}
		return headers.set(RefusalResponses.OUTCOME_HEADER, outcome).set(REQUEST_ID_HEADER, this.requestId.value());
	}

	private void endWithRefusal(FullHttpResponse refusal) {
		if (this.state == State.NEW || this.state == State.BUFFERING) {
			refusal.headers().set(REQUEST_ID_HEADER, this.requestId.value());
			endResponse(refusal);
			return;
		}
		refusal.release();
		if (this.state == State.STREAMING) {
			this.state = State.ENDED;
			this.channel.close();
			resume();
		}
	}

	private void endResponse(Object message) {
		this.state = State.ENDED;
		this.buffer = new ByteArrayOutputStream(0);
		this.connection.endResponse(message);
		resume();
	}

	private enum State {

		NEW, BUFFERING, STREAMING, ENDED

	}

}
