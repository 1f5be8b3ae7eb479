package org.mustardlane.standin.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;

/**
 * One HTTP request and the connection on which its response is sent.
 *
 * <p>
 * Used on the event loop of its connection.
 */
public final class Exchange {

	private final Channel channel;

	private final String method;

	private final QueryStringDecoder uriDecoder;

	private final HttpHeaders headers;

	private final byte[] body;

	private final boolean keepAlive;

	private final List<Runnable> closeListeners = new ArrayList<>();

	Exchange(Channel channel, FullHttpRequest request) {
		this.channel = channel;
		this.method = request.method().name();
		this.uriDecoder = new QueryStringDecoder(request.uri());
		this.headers = request.headers();
		this.body = ByteBufUtil.getBytes(request.content());
		this.keepAlive = HttpUtil.isKeepAlive(request);
	}

	/**
	 * Returns the HTTP method.
	 * @return the method in upper case
	 */
	public String method() {
		return this.method;
	}

	/**
	 * Returns the path without the query.
	 * @return the path
	 */
	public String path() {
		return this.uriDecoder.path();
	}

	/**
	 * Returns the body of the request.
	 * @return the bytes
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Returns a header of the request.
	 * @param name name of the header
	 * @return the value, or empty if the header is missing
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name));
	}

	/**
	 * Returns a numeric query parameter.
	 * @param name name of the parameter
	 * @param defaultValue the result if the parameter is missing
	 * @return the number
	 * @throws NumberFormatException if the parameter is not a whole number
	 */
	public long queryNumber(String name, long defaultValue) {
		List<String> values = this.uriDecoder.parameters().getOrDefault(name, List.of());
		return values.isEmpty() ? defaultValue : Long.parseLong(values.get(0));
	}

	/**
	 * Sends a JSON response.
	 * @param status the HTTP status code
	 * @param document value that is written as JSON
	 */
	public void sendJson(int status, Object document) {
		send(status, Map.of(HttpHeaderNames.CONTENT_TYPE.toString(), "application/json"), Json.write(document));
	}

	/**
	 * Sends a complete response with a Content-Length header.
	 * @param status the HTTP status code
	 * @param responseHeaders further headers
	 * @param responseBody the body
	 */
	public void send(int status, Map<String, String> responseHeaders, byte[] responseBody) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(responseBody));
		responseHeaders.forEach(response.headers()::set);
		HttpUtil.setContentLength(response, responseBody.length);
		HttpUtil.setKeepAlive(response, this.keepAlive);
		this.channel.writeAndFlush(response).addListener(this::closeUnlessKeptAlive);
	}

	/**
	 * Sends the head of a response and only the beginning of its body, then closes the
	 * connection.
	 * @param responseHeaders further headers
	 * @param responseBody the complete body, whose length goes into Content-Length
	 * @param sentBytes number of bytes of the body to send
	 */
	public void sendTruncated(Map<String, String> responseHeaders, byte[] responseBody, int sentBytes) {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		responseHeaders.forEach(response.headers()::set);
		HttpUtil.setContentLength(response, responseBody.length);
		this.channel.write(response);
		int partLength = Math.min(sentBytes, responseBody.length);
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(responseBody, 0, partLength)))
			.addListener(ChannelFutureListener.CLOSE);
	}

	/**
	 * Sends the head of a chunked response.
	 * @param responseHeaders further headers
	 */
	public void startChunkedResponse(Map<String, String> responseHeaders) {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		responseHeaders.forEach(response.headers()::set);
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		this.channel.writeAndFlush(response);
	}

	/**
	 * Sends one chunk of a chunked response.
	 * @param bytes content of the chunk
	 */
	public void writeChunk(byte[] bytes) {
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
	}

	/**
	 * Sends the last chunk of a chunked response.
	 * @param trailers header fields that follow the last chunk
	 */
	public void finishChunkedResponse(Map<String, String> trailers) {
		LastHttpContent lastChunk = new DefaultLastHttpContent();
		trailers.forEach(lastChunk.trailingHeaders()::set);
		this.channel.writeAndFlush(lastChunk).addListener(this::closeUnlessKeptAlive);
	}

	/**
	 * Closes the connection with a TCP FIN, even if the response is incomplete.
	 */
	public void close() {
		this.channel.close();
	}

	/**
	 * Closes the connection with a TCP RST.
	 */
	public void reset() {
		this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		this.channel.close();
	}

	/**
	 * Returns whether the outbound buffer of the connection has room for more bytes.
	 * @return whether the connection accepts more bytes
	 */
	public boolean isWritable() {
		return this.channel.isWritable();
	}

	/**
	 * Returns whether the connection is still open.
	 * @return whether the connection is open
	 */
	public boolean isOpen() {
		return this.channel.isActive();
	}

	/**
	 * Registers a listener that runs if the connection closes before its next request
	 * arrives.
	 * @param listener runs on the event loop of the server
	 */
	public void onClose(Runnable listener) {
		this.closeListeners.add(listener);
	}

	void notifyClosed() {
		this.closeListeners.forEach(Runnable::run);
	}

	private void closeUnlessKeptAlive(Future<?> writeResult) {
		if (!this.keepAlive || !writeResult.isSuccess()) {
			this.channel.close();
		}
	}

}
