package org.mustardlane.gateway.front;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects ambiguous framing, which two HTTP implementations could
 * interpret differently (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	/**
	 * Creates a decoder.
	 * @param maxHeaderBytes maximum size of a request head
	 */
	StrictRequestDecoder(int maxHeaderBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException(
				HttpHeaderNames.CONTENT_LENGTH + " beside " + HttpHeaderNames.TRANSFER_ENCODING);
	}

}
