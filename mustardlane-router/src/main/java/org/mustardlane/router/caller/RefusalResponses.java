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
 * Creates the HTTP responses for refusals and protocol errors.
 */
final class RefusalResponses {

	/**
	 * Name of the header with the outcome of the request.
	 */
	static final String OUTCOME_HEADER = "X-Outcome";

	private static final String RETRY_AFTER_MILLIS_HEADER = "X-Retry-After-Millis";

	private static final int MILLIS_PER_SECOND = 1000;

	/**
	 * Retry delay for callers whose request would fail again if sent unchanged.
	 */
	private static final long PERMANENT_ERROR_RETRY_MILLIS = 3_600_000;

	private static final Set<ProtocolError> TRANSIENT_ERRORS = EnumSet.of(ProtocolError.IDLE_TIMEOUT,
			ProtocolError.TRUNCATED_BODY, ProtocolError.ROUTER_FULL);

	private RefusalResponses() {
	}

	/**
	 * Creates the response for a refusal of the node.
	 * @param refusal the refusal
	 * @return the response
	 */
	static FullHttpResponse of(Refusal refusal) {
		return createResponse(RefusalStatus.of(refusal.code()), refusal.outcome(), refusal.code().name(),
				refusal.message(), refusal.retryAfterMillis());
	}

	/**
	 * Creates the response for an error that was detected outside the node.
	 * @param error the error
	 * @param outcome whether the request may have run
	 * @param detail further detail for the caller, empty if there is none
	 * @return the response
	 */
	static FullHttpResponse of(ProtocolError error, Outcome outcome, String detail) {
		String message = detail.isEmpty() ? error.message() : error.message() + ": " + detail;
		long retryAfterMillis = TRANSIENT_ERRORS.contains(error) ? MILLIS_PER_SECOND : 0;
		return createResponse(error.status(), outcome, error.name(), message, retryAfterMillis);
	}

	/**
	 * Returns the text of an outcome for callers.
	 * @param outcome the outcome
	 * @return the value of the outcome header
	 */
	static String outcomeText(Outcome outcome) {
		return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static FullHttpResponse createResponse(int status, Outcome outcome, String code, String message,
			long retryAfterMillis) {
		long reportedRetryMillis = (retryAfterMillis > 0) ? retryAfterMillis : PERMANENT_ERROR_RETRY_MILLIS;
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.put("outcome", outcomeText(outcome));
		json.put("code", code);
		json.put("message", message);
		json.put("retryAfterMillis", reportedRetryMillis);
		ByteBuf body = ByteBufUtil.writeUtf8(UnpooledByteBufAllocator.DEFAULT, json.toString());
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), body);
		response.headers()
			.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
			.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
			.set(OUTCOME_HEADER, outcomeText(outcome))
			.set(HttpHeaderNames.RETRY_AFTER, (reportedRetryMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)
			.set(RETRY_AFTER_MILLIS_HEADER, reportedRetryMillis);
		return response;
	}

}
