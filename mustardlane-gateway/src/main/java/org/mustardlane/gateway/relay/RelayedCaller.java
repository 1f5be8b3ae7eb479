package org.mustardlane.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

import org.mustardlane.gateway.front.CallerChannel;
import org.mustardlane.gateway.front.Rejection;
import org.mustardlane.gateway.front.RejectionResponse;

/**
 * Sends the response of a call to the router that has passed it on.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class RelayedCaller implements CallerChannel {

	private final CallerChannel router;

	private final String requestId;

	/**
	 * Creates a channel to the router.
	 * @param router the connection of the router
	 * @param requestId id of the call
	 */
	RelayedCaller(CallerChannel router, String requestId) {
		this.router = router;
		this.requestId = requestId;
	}

	@Override
	public void respond(int status, HttpHeaders headers, byte[] body) {
		RelayHeaders.markResponse(headers, this.requestId, false);
		this.router.respond(status, headers, body);
	}

	@Override
	public void reject(Rejection rejection) {
		HttpHeaders headers = RejectionResponse.headers(rejection);
		RelayHeaders.markResponse(headers, this.requestId, true);
		this.router.respond(rejection.status(), headers, RejectionResponse.body(rejection));
	}

	@Override
	public void startResponse(int status, HttpHeaders headers) {
		RelayHeaders.markResponse(headers, this.requestId, false);
		this.router.startResponse(status, headers);
	}

	@Override
	public void sendContent(ByteBuf content) {
		this.router.sendContent(content);
	}

	@Override
	public void endResponse() {
		this.router.endResponse();
	}

	@Override
	public void abort() {
		this.router.abort();
	}

	@Override
	public boolean isWritable() {
		return this.router.isWritable();
	}

	@Override
	public boolean readAndCheckConnection() {
		return this.router.readAndCheckConnection();
	}

}
