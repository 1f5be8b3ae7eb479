package org.mustardlane.proof.measure;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;

import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.caller.Caller;
import org.mustardlane.proof.fleet.RouterHandle;

/**
 * Sends each call to a random router, as the load balancer of the platform does.
 */
final class RouterCallSender implements CallSender {

	private final Caller caller;

	private final List<RouterHandle> routers;

	RouterCallSender(Caller caller, List<RouterHandle> routers) {
		this.caller = caller;
		this.routers = routers;
	}

	@Override
	public CompletableFuture<CallResult> send(TimedCall call, IntConsumer progress) {
		RouterHandle router = this.routers.get((int) (call.routerFraction() * this.routers.size()));
		return this.caller.call(router.url(), call.request(), progress);
	}

}
