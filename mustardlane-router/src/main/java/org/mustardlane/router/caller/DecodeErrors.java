package org.mustardlane.router.caller;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * Maps failures of the HTTP decoder to errors that callers receive.
 */
final class DecodeErrors {

	private DecodeErrors() {
	}

	/**
	 * Maps a failure.
	 * @param cause the exception of the decoder
	 * @return the error for the caller
	 */
	static ProtocolException of(Throwable cause) {
		if (cause instanceof TooLongHttpLineException) {
			return new ProtocolException(ProtocolError.LINE_TOO_LONG, "");
		}
		if (cause instanceof TooLongHttpHeaderException) {
			return new ProtocolException(ProtocolError.HEADERS_TOO_LARGE, "");
		}
		if (cause instanceof TooLongFrameException) {
			return new ProtocolException(ProtocolError.MALFORMED_HTTP, "a part is too long");
		}
		return new ProtocolException(ProtocolError.MALFORMED_HTTP, "");
	}

}
