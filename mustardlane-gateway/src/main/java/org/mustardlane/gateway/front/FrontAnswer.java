package org.mustardlane.gateway.front;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The answer to the call that a connection serves.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class FrontAnswer implements CallerChannel {

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private final FrontConnection connection;

	private final Channel channel;

	private final boolean withoutBody;

	private final boolean chunked;

	private Optional<OpenCall> open = Optional.empty();

	private boolean ended;

	/**
	 * Creates an answer of which nothing is sent.
	 * @param connection where it is sent
	 * @param channel channel of the connection
	 * @param withoutBody whether the method allows no body in the answer
	 * @param chunked whether the caller understands chunks
	 */
	FrontAnswer(FrontConnection connection, Channel channel, boolean withoutBody, boolean chunked) {
		this.connection = connection;
		this.channel = channel;
		this.withoutBody = withoutBody;
		this.chunked = chunked;
	}

	/**
	 * Names the call that is told of the caller from now on.
	 * @param call the call
	 */
	void serve(OpenCall call) {
		this.open = Optional.of(call);
	}

	@Override
	public void answer(int status, HttpHeaders headers, byte[] body) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		boolean bodiless = this.withoutBody || status == NO_CONTENT || status == NOT_MODIFIED;
		ByteBuf content = bodiless ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), content, headers, EmptyHttpHeaders.INSTANCE);
		if (!bodiless) {
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		markConnection(response);
		this.connection.finish(response);
	}

	@Override
	public void begin(int status, HttpHeaders headers) {
		if (this.ended) {
			return;
		}
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
				headers);
		if (this.chunked) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		markConnection(response);
		this.channel.writeAndFlush(response);
	}

	private void markConnection(HttpMessage message) {
		if (this.connection.closesAfterAnswer() || !this.chunked) {
			message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	@Override
	public void part(ByteBuf part) {
		if (this.ended) {
			part.release();
			return;
		}
		this.channel.writeAndFlush(new DefaultHttpContent(part));
	}

	@Override
	public void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.connection.finish(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	@Override
	public void abort() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.connection.abort();
	}

	@Override
	public boolean isWritable() {
		return this.channel.isWritable();
	}

	/**
	 * Tells the call that its caller has gone.
	 */
	void callerGone() {
		if (!this.ended) {
			this.ended = true;
			this.open.ifPresent(OpenCall::callerGone);
		}
	}

	/**
	 * Tells the call whether its caller takes bytes.
	 * @param writable whether it does
	 */
	void writabilityChanged(boolean writable) {
		this.open.ifPresent((call) -> call.writabilityChanged(writable));
	}

}
