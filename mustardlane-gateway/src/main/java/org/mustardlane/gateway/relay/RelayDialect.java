package org.mustardlane.gateway.relay;

import java.util.Optional;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

import org.mustardlane.gateway.wire.CallHead;
import org.mustardlane.gateway.wire.Dispatch;
import org.mustardlane.gateway.wire.MalformedCallException;
import org.mustardlane.gateway.wire.ResponseHead;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * Reads responses that come from another router, which marks its own ones too with the
 * call that they belong to.
 *
 * <p>
 * Stateless and thread-safe.
 */
public final class RelayDialect implements WireDialect {

	private final WireDialect dialect;

	/**
	 * Creates a dialect.
	 * @param dialect reads and writes all other headers
	 */
	public RelayDialect(WireDialect dialect) {
		this.dialect = dialect;
	}

	@Override
	public CallHead readCall(HttpRequest request) throws MalformedCallException {
		return this.dialect.readCall(request);
	}

	@Override
	public HttpRequest createTargetRequest(HttpRequest call, Dispatch dispatch) {
		return this.dialect.createTargetRequest(call, dispatch);
	}

	@Override
	public HttpRequest createRelayRequest(HttpRequest call, long remainingMillis, Optional<String> resumeAfterEventId) {
		return this.dialect.createRelayRequest(call, remainingMillis, resumeAfterEventId);
	}

	@Override
	public ResponseHead readResponse(HttpResponse response, long nowMillis) {
		return this.dialect.readResponse(response, nowMillis).withRequestId(RelayHeaders.callOf(response.headers()));
	}

}
