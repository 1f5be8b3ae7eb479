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
import org.mustardlane.router.answer.AnswerHead;
import org.mustardlane.router.answer.AnswerReader;

/**
 * The response to one request of a caller.
 *
 * <p>
 * Small responses of a known length and all responses to HTTP/1.0 callers are held and
 * sent whole; others are streamed in chunks, with the outcome in a trailer. Thread-safe:
 * all work is done on the event loop of the connection.
 */
public final class CallerResponse implements AnswerReader {

	private static final String PENDING = "pending";

	private static final String REQUEST_ID_HEADER = "X-Request-Id";

	private final Channel channel;

	private final RequestId requestId;

	private final boolean chunksAllowed;

	private final int heldBytesLimit;

	private final CallerConnection connection;

	private State state = State.NEW;

	private AnswerHead head = new AnswerHead(0, "", OptionalLong.empty());

	private ByteArrayOutputStream held = new ByteArrayOutputStream(0);

	private Runnable waiting = CallerResponse::nothing;

	/**
	 * Creates the response.
	 * @param channel the connection
	 * @param requestId the request
	 * @param chunksAllowed whether the caller reads chunks; HTTP/1.0 callers do not
	 * @param heldBytesLimit largest response that is held whole
	 * @param connection what is told that the response has ended
	 */
	CallerResponse(Channel channel, RequestId requestId, boolean chunksAllowed, int heldBytesLimit,
			CallerConnection connection) {
		this.channel = channel;
		this.requestId = requestId;
		this.chunksAllowed = chunksAllowed;
		this.heldBytesLimit = heldBytesLimit;
		this.connection = connection;
	}

	private static void nothing() {
	}

	@Override
	public void begin(AnswerHead answerHead) {
		this.channel.eventLoop().execute(() -> {
			if (this.state == State.NEW) {
				this.head = answerHead;
				beginNow();
			}
		});
	}

	@Override
	public void write(byte[] part, Runnable ready) {
		this.channel.eventLoop().execute(() -> writeNow(part, ready));
	}

	@Override
	public void finish() {
		this.channel.eventLoop().execute(this::finishNow);
	}

	@Override
	public void abort(Refusal refusal) {
		this.channel.eventLoop().execute(() -> endWith(RefusalResponses.of(refusal)));
	}

	@Override
	public boolean holds(AnswerHead answerHead) {
		OptionalLong length = answerHead.contentLengthBytes();
		return length.isPresent() && length.getAsLong() <= this.heldBytesLimit;
	}

	@Override
	public void restart() {
		this.channel.eventLoop().execute(() -> {
			if (this.state == State.HELD) {
				this.state = State.NEW;
				this.held = new ByteArrayOutputStream(0);
			}
		});
	}

	/**
	 * Sends a response that was kept.
	 * @param storedResponse the response
	 */
	public void send(StoredResponse storedResponse) {
		this.channel.eventLoop().execute(() -> {
			if (this.state == State.NEW) {
				this.head = new AnswerHead(storedResponse.status(), storedResponse.contentType(), OptionalLong.empty());
				end(whole(storedResponse.body()));
			}
		});
	}

	/**
	 * Says whether the last word of the response has been written; to be called on the
	 * event loop.
	 * @return whether it has ended
	 */
	boolean ended() {
		return this.state == State.ENDED;
	}

	/**
	 * Lets the source go on after the connection has taken what was written, or has been
	 * closed; to be called on the event loop.
	 */
	void resume() {
		Runnable ready = this.waiting;
		this.waiting = CallerResponse::nothing;
		ready.run();
	}

	private void beginNow() {
		if (holds(this.head) || !this.chunksAllowed) {
			this.state = State.HELD;
			return;
		}
		stream();
	}

	private void stream() {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(this.head.status()));
		commonHeaders(response.headers(), PENDING).set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
			.set(HttpHeaderNames.TRAILER, RefusalResponses.OUTCOME_HEADER);
		this.connection.markConnection(response);
		this.state = State.STREAMING;
		this.channel.writeAndFlush(response);
	}

	private void writeNow(byte[] part, Runnable ready) {
		if (this.state == State.HELD) {
			hold(part);
			ready.run();
			return;
		}
		if (this.state != State.STREAMING || !this.channel.isActive()) {
			ready.run();
			return;
		}
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
		if (this.channel.isWritable()) {
			ready.run();
		}
		else {
			this.waiting = ready;
		}
	}

	private void hold(byte[] part) {
		this.held.writeBytes(part);
		if (this.held.size() <= this.heldBytesLimit) {
			return;
		}
		byte[] bytes = this.held.toByteArray();
		this.held = new ByteArrayOutputStream(0);
		if (this.chunksAllowed) {
			stream();
			this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
			return;
		}
		endWith(RefusalResponses.of(ProtocolError.ANSWER_TOO_LARGE, Outcome.UNKNOWN, ""));
		this.connection.callerGone(this.requestId);
	}

	private void finishNow() {
		if (this.state == State.HELD) {
			end(whole(this.held.toByteArray()));
		}
		else if (this.state == State.STREAMING) {
			LastHttpContent last = new DefaultLastHttpContent();
			last.trailingHeaders().set(RefusalResponses.OUTCOME_HEADER, RefusalResponses.text(Outcome.ANSWERED));
			end(last);
		}
	}

	private FullHttpResponse whole(byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(this.head.status()), Unpooled.wrappedBuffer(body));
		commonHeaders(response.headers(), RefusalResponses.text(Outcome.ANSWERED)).set(HttpHeaderNames.CONTENT_LENGTH,
				body.length);
		return response;
	}

	private HttpHeaders commonHeaders(HttpHeaders headers, String outcome) {
		if (!this.head.contentType().isEmpty()) {
			headers.set(HttpHeaderNames.CONTENT_TYPE, this.head.contentType());
		}
		return headers.set(RefusalResponses.OUTCOME_HEADER, outcome).set(REQUEST_ID_HEADER, this.requestId.value());
	}

	private void endWith(FullHttpResponse refusal) {
		if (this.state == State.NEW || this.state == State.HELD) {
			refusal.headers().set(REQUEST_ID_HEADER, this.requestId.value());
			end(refusal);
			return;
		}
		refusal.release();
		if (this.state == State.STREAMING) {
			this.state = State.ENDED;
			this.channel.close();
			resume();
		}
	}

	private void end(Object message) {
		this.state = State.ENDED;
		this.held = new ByteArrayOutputStream(0);
		this.connection.endResponse(message);
		resume();
	}

	private enum State {

		NEW, HELD, STREAMING, ENDED

	}

}
