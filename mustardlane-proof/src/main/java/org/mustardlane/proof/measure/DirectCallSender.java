package org.mustardlane.proof.measure;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntConsumer;

import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.caller.Caller;
import org.mustardlane.proof.fleet.TargetHandle;

/**
 * Sends calls to the engines round-robin, without a router.
 */
final class DirectCallSender implements CallSender {

	private final Caller caller;

	private final List<TargetHandle> engines;

	private final Set<String> leavingEngines = ConcurrentHashMap.newKeySet();

	private final AtomicLong sentCalls = new AtomicLong();

	DirectCallSender(Caller caller, List<TargetHandle> engines) {
		this.caller = caller;
		this.engines = engines;
	}

	@Override
	public CompletableFuture<CallResult> send(TimedCall call, IntConsumer progress) {
		List<TargetHandle> presentEngines = this.engines.stream()
			.filter((engine) -> !this.leavingEngines.contains(engine.name()))
			.toList();
		long callNumber = this.sentCalls.getAndIncrement();
		TargetHandle engine = presentEngines.get((int) (callNumber % presentEngines.size()));
		return this.caller.callEngine(engine.url(), call.request(), "direct-" + callNumber, progress);
	}

	@Override
	public void setLeaving(String engine, boolean isLeaving) {
		if (isLeaving) {
			this.leavingEngines.add(engine);
		}
		else {
			this.leavingEngines.remove(engine);
		}
	}

}
