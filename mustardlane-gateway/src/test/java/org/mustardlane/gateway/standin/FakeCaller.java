package org.mustardlane.gateway.standin;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

import org.mustardlane.gateway.front.CallerChannel;

/**
 * Keeps what a caller was answered.
 *
 * <p>
 * Written on one thread, read from any.
 */
public final class FakeCaller implements CallerChannel {

	private final StringBuffer body = new StringBuffer();

	private volatile HttpHeaders headers = new DefaultHttpHeaders();

	private volatile int status;

	private volatile boolean ended;

	private volatile boolean aborted;

	@Override
	public void respond(int responseStatus, HttpHeaders responseHeaders, byte[] content) {
		startResponse(responseStatus, responseHeaders);
		this.body.append(new String(content, StandardCharsets.UTF_8));
		endResponse();
	}

	@Override
	public void startResponse(int responseStatus, HttpHeaders responseHeaders) {
		this.headers = responseHeaders;
		this.status = responseStatus;
	}

	@Override
	public void sendContent(ByteBuf content) {
		this.body.append(content.toString(StandardCharsets.UTF_8));
		content.release();
	}

	@Override
	public void endResponse() {
		this.ended = true;
	}

	@Override
	public void abort() {
		this.aborted = true;
	}

	@Override
	public boolean isWritable() {
		return true;
	}

	/**
	 * Returns the status of the answer.
	 * @return the status, 0 while there is none
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns a header of the answer.
	 * @param name its name
	 * @return its value, empty where there is none
	 */
	public String header(String name) {
		return this.headers.get(name, "");
	}

	/**
	 * Returns the body so far.
	 * @return the text
	 */
	public String body() {
		return this.body.toString();
	}

	/**
	 * Tells whether the answer was ended as whole.
	 * @return true once it was
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * Tells whether the answer was broken off.
	 * @return true once it was
	 */
	public boolean isAborted() {
		return this.aborted;
	}

}
