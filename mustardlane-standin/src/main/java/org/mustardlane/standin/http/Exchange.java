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
 * One request and the answer to it.
 */
public final class Exchange {

	private final Channel channel;

	private final String method;

	private final QueryStringDecoder uri;

	private final HttpHeaders headers;

	private final byte[] body;

	private final boolean keepAlive;

	private final List<Runnable> closeListeners = new ArrayList<>();

	Exchange(Channel channel, FullHttpRequest request) {
		this.channel = channel;
		this.method = request.method().name();
		this.uri = new QueryStringDecoder(request.uri());
		this.headers = request.headers();
		this.body = ByteBufUtil.getBytes(request.content());
		this.keepAlive = HttpUtil.isKeepAlive(request);
	}

	/**
	 * Returns the method.
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
		return this.uri.path();
	}

	/**
	 * Returns the body.
	 * @return the bytes
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Returns a header.
	 * @param name the name
	 * @return the value if the header is there
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name));
	}

	/**
	 * Returns a number from the query.
	 * @param name the name of the parameter
	 * @param fallback the value where the parameter is missing
	 * @return the number
	 */
	public long queryNumber(String name, long fallback) {
		List<String> values = this.uri.parameters().getOrDefault(name, List.of());
		return values.isEmpty() ? fallback : Long.parseLong(values.get(0));
	}

	/**
	 * Answers with a JSON document.
	 * @param status the status code
	 * @param document the document
	 */
	public void sendJson(int status, Object document) {
		send(status, Map.of(HttpHeaderNames.CONTENT_TYPE.toString(), "application/json"), Json.write(document));
	}

	/**
	 * Answers with a body whose length is known.
	 * @param status the status code
	 * @param answerHeaders further headers
	 * @param answer the body
	 */
	public void send(int status, Map<String, String> answerHeaders, byte[] answer) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(answer));
		answerHeaders.forEach(response.headers()::set);
		HttpUtil.setContentLength(response, answer.length);
		HttpUtil.setKeepAlive(response, this.keepAlive);
		this.channel.writeAndFlush(response).addListener(this::closeUnlessKeptAlive);
	}

	/**
	 * Sends the head of an answer and only a part of its body, then closes.
	 * @param answerHeaders further headers
	 * @param answer the whole body
	 * @param sentBytes how much of it is sent
	 */
	public void sendPart(Map<String, String> answerHeaders, byte[] answer, int sentBytes) {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		answerHeaders.forEach(response.headers()::set);
		HttpUtil.setContentLength(response, answer.length);
		this.channel.write(response);
		int part = Math.min(sentBytes, answer.length);
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(answer, 0, part)))
			.addListener(ChannelFutureListener.CLOSE);
	}

	/**
	 * Begins an answer of unknown length.
	 * @param answerHeaders further headers
	 */
	public void startStream(Map<String, String> answerHeaders) {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		answerHeaders.forEach(response.headers()::set);
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		this.channel.writeAndFlush(response);
	}

	/**
	 * Sends a part of an answer that was begun.
	 * @param part the bytes
	 */
	public void write(byte[] part) {
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
	}

	/**
	 * Ends an answer that was begun.
	 * @param trailers the fields after the last part
	 */
	public void finish(Map<String, String> trailers) {
		LastHttpContent end = new DefaultLastHttpContent();
		trailers.forEach(end.trailingHeaders()::set);
		this.channel.writeAndFlush(end).addListener(this::closeUnlessKeptAlive);
	}

	/**
	 * Closes the connection in order, whatever was sent of the answer.
	 */
	public void close() {
		this.channel.close();
	}

	/**
	 * Resets the connection.
	 */
	public void reset() {
		this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		this.channel.close();
	}

	/**
	 * Returns whether the reader is ready for more bytes.
	 * @return whether it is
	 */
	public boolean isWritable() {
		return this.channel.isWritable();
	}

	/**
	 * Returns whether the connection is still open.
	 * @return whether it is
	 */
	public boolean isOpen() {
		return this.channel.isActive();
	}

	/**
	 * Asks for a call when the connection is closed before the next request.
	 * @param listener what is called on the thread of the server
	 */
	public void onClose(Runnable listener) {
		this.closeListeners.add(listener);
	}

	void connectionClosed() {
		this.closeListeners.forEach(Runnable::run);
	}

	private void closeUnlessKeptAlive(Future<?> written) {
		if (!this.keepAlive || !written.isSuccess()) {
			this.channel.close();
		}
	}

}
