package org.mustardlane.gateway.standin;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

import org.mustardlane.gateway.front.CallerChannel;

/**
 * Caller channel that records the response.
 *
 * <p>
 * Written on one thread, may be read from any thread.
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

	@Override
	public boolean readAndCheckConnection() {
		return true;
	}

	/**
	 * Returns the status of the response.
	 * @return the status, 0 if no response was started
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns a header of the response.
	 * @param name name of the header
	 * @return the value, empty if the header is missing
	 */
	public String header(String name) {
		return this.headers.get(name, "");
	}

	/**
	 * Returns the part of the body that was sent so far.
	 * @return the body as text
	 */
	public String body() {
		return this.body.toString();
	}

	/**
	 * Returns whether the response was completed.
	 * @return true once the response was completed
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * Returns whether the response was aborted.
	 * @return true once the response was aborted
	 */
	public boolean isAborted() {
		return this.aborted;
	}

}
