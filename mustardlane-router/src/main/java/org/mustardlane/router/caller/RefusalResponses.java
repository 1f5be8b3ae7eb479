package org.mustardlane.router.caller;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;

/**
 * Writes refusals as HTTP responses.
 */
final class RefusalResponses {

	/**
	 * Header with the outcome of the request.
	 */
	static final String OUTCOME_HEADER = "X-Outcome";

	private static final String RETRY_AFTER_MILLIS_HEADER = "X-Retry-After-Millis";

	private static final int MILLIS_PER_SECOND = 1000;

	/**
	 * Told to callers that can only fail again with the same request.
	 */
	private static final long UNCHANGED_RETRY_MILLIS = 3_600_000;

	private static final Set<ProtocolError> PASSING = EnumSet.of(ProtocolError.IDLE_TIMEOUT,
			ProtocolError.TRUNCATED_BODY, ProtocolError.ROUTER_FULL);

	private RefusalResponses() {
	}

	/**
	 * Writes the final word of the node.
	 * @param refusal the word
	 * @return the response
	 */
	static FullHttpResponse of(Refusal refusal) {
		return response(RefusalStatus.of(refusal.code()), refusal.outcome(), refusal.code().name(), refusal.message(),
				refusal.retryAfterMillis());
	}

	/**
	 * Writes an error that the router found before or after the node was asked.
	 * @param error the error
	 * @param outcome whether the request may have run
	 * @param detail what exactly is wrong, empty where the error says all
	 * @return the response
	 */
	static FullHttpResponse of(ProtocolError error, Outcome outcome, String detail) {
		String message = detail.isEmpty() ? error.message() : error.message() + ": " + detail;
		long retryAfterMillis = PASSING.contains(error) ? MILLIS_PER_SECOND : 0;
		return response(error.status(), outcome, error.name(), message, retryAfterMillis);
	}

	/**
	 * Returns the outcome as callers read it.
	 * @param outcome the outcome
	 * @return the text of the header
	 */
	static String text(Outcome outcome) {
		return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static FullHttpResponse response(int status, Outcome outcome, String code, String message,
			long retryAfterMillis) {
		long retryMillis = (retryAfterMillis > 0) ? retryAfterMillis : UNCHANGED_RETRY_MILLIS;
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.put("outcome", text(outcome));
		json.put("code", code);
		json.put("message", message);
		json.put("retryAfterMillis", retryMillis);
		ByteBuf body = ByteBufUtil.writeUtf8(UnpooledByteBufAllocator.DEFAULT, json.toString());
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), body);
		response.headers()
			.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
			.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
			.set(OUTCOME_HEADER, text(outcome))
			.set(HttpHeaderNames.RETRY_AFTER, (retryMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)
			.set(RETRY_AFTER_MILLIS_HEADER, retryMillis);
		return response;
	}

}
