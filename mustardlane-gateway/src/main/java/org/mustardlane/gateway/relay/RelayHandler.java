package org.mustardlane.gateway.relay;

import java.util.Optional;

import io.netty.handler.codec.http.HttpResponseStatus;

import org.mustardlane.gateway.front.Call;
import org.mustardlane.gateway.front.CallHandler;
import org.mustardlane.gateway.front.CallerChannel;
import org.mustardlane.gateway.front.EndedCall;
import org.mustardlane.gateway.front.OpenCall;
import org.mustardlane.gateway.front.Rejection;
import org.mustardlane.gateway.wire.CallHead;
import org.mustardlane.gateway.wire.MalformedCallException;

/**
 * Handles the calls that other routers pass on. Each of them is answered with the mark of
 * its call, so nothing is decided before its body has arrived.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class RelayHandler implements CallHandler {

	private final Opener opener;

	/**
	 * Creates a handler.
	 * @param opener opens the calls
	 */
	public RelayHandler(Opener opener) {
		this.opener = opener;
	}

	@Override
	public Optional<Rejection> checkHead(CallHead head) {
		return Optional.empty();
	}

	@Override
	public OpenCall open(Call call, CallerChannel router) {
		RelayedCaller caller = new RelayedCaller(router, call.head().requestId());
		try {
			return this.opener.open(call, RelayHeaders.takeRequest(call.request().headers()), caller);
		}
		catch (MalformedCallException ex) {
			caller.reject(Rejection.permanent(HttpResponseStatus.BAD_REQUEST.code(), ex.getMessage()));
			return EndedCall.INSTANCE;
		}
	}

	/**
	 * Opens a call that another router has passed on.
	 */
	public interface Opener {

		/**
		 * Opens a call.
		 * @param call the call
		 * @param request what the other router says about it
		 * @param caller channel for the response
		 * @return the call in progress
		 */
		OpenCall open(Call call, RelayRequest request, CallerChannel caller);

	}

}
