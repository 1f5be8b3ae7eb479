package org.mustardlane.gateway.front;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and refuses framing that two readers could understand differently.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	/**
	 * Creates a decoder.
	 * @param maxHeaderBytes most bytes of a head
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
