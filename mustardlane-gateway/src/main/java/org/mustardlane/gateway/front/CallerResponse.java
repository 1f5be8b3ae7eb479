package org.mustardlane.gateway.front;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
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
 * Response to the call that a connection is serving.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class CallerResponse implements CallerChannel {

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private final FrontConnection connection;

	private final Channel channel;

	private final boolean bodyForbidden;

	private final boolean supportsChunking;

	private Optional<OpenCall> openCall = Optional.empty();

	private boolean ended;

	/**
	 * Creates a response of which nothing is sent yet.
	 * @param connection connection that sends the response
	 * @param channel channel of the connection
	 * @param bodyForbidden whether the request method forbids a response body
	 * @param supportsChunking whether the caller supports chunked transfer encoding
	 */
	CallerResponse(FrontConnection connection, Channel channel, boolean bodyForbidden, boolean supportsChunking) {
		this.connection = connection;
		this.channel = channel;
		this.bodyForbidden = bodyForbidden;
		this.supportsChunking = supportsChunking;
	}

	/**
	 * Attaches the call that is notified of events of its caller.
	 * @param call the call
	 */
	void attach(OpenCall call) {
		this.openCall = Optional.of(call);
	}

	@Override
	public void respond(int status, HttpHeaders headers, byte[] body) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		boolean omitsBody = this.bodyForbidden || status == NO_CONTENT || status == NOT_MODIFIED;
		ByteBuf content = omitsBody ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), content, headers, EmptyHttpHeaders.INSTANCE);
		if (!omitsBody) {
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		setConnectionHeader(response);
		this.connection.finishResponse(response);
	}

	@Override
	public void startResponse(int status, HttpHeaders headers) {
		if (this.ended) {
			return;
		}
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
				headers);
		if (this.supportsChunking) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		setConnectionHeader(response);
		this.channel.writeAndFlush(response);
	}

	private void setConnectionHeader(HttpMessage message) {
		if (this.connection.closesAfterResponse() || !this.supportsChunking) {
			message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	@Override
	public void sendContent(ByteBuf content) {
		if (this.ended) {
			content.release();
			return;
		}
		this.channel.writeAndFlush(new DefaultHttpContent(content));
	}

	@Override
	public void endResponse() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.connection.finishResponse(LastHttpContent.EMPTY_LAST_CONTENT);
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

	@Override
	public boolean readAndCheckConnection() {
		if (this.channel.isActive() && this.channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
			unsafe.read();
		}
		return this.channel.isActive();
	}

	/**
	 * Notifies the call that its caller has disconnected.
	 */
	void onCallerDisconnected() {
		if (!this.ended) {
			this.ended = true;
			this.openCall.ifPresent(OpenCall::onCallerDisconnected);
		}
	}

	/**
	 * Notifies the call whether more of its response can be written.
	 * @param writable true if the caller reads fast enough
	 */
	void onWritabilityChanged(boolean writable) {
		this.openCall.ifPresent((call) -> call.onWritabilityChanged(writable));
	}

}
