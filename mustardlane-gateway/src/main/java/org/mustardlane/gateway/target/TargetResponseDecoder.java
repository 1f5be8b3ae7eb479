package org.mustardlane.gateway.target;

import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on a connection to a target.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {

	private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");

	private final boolean headRequest;

	/**
	 * Creates a decoder.
	 * @param method method of the request; a response to HEAD has no body
	 * @param limits size limits of the response head
	 */
	TargetResponseDecoder(HttpMethod method, HttpDecoderConfig limits) {
		super(limits);
		this.headRequest = HttpMethod.HEAD.equals(method);
	}

	// The superclass takes any number for a status.
	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		if (!STATUS.matcher(initialLine[1]).matches()) {
			throw new IllegalArgumentException("no status: " + initialLine[1]);
		}
		return super.createMessage(initialLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headRequest || super.isContentAlwaysEmpty(message);
	}

	/**
	 * Returns whether bytes have arrived that make no complete message part yet.
	 * @return true if the decoder holds such bytes
	 */
	boolean hasUndecodedBytes() {
		return actualReadableBytes() > 0;
	}

}
