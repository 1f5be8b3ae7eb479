package org.mustardlane.gateway.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.quarantine.LostCall;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Finds out whether a target that has ended a connection has crashed, before the call
 * that was lost becomes evidence.
 *
 * <p>
 * A target that has crashed accepts no connection for some seconds. One that does has
 * only lost an answer. If another target cannot be connected to either, this router has
 * lost its path. Confined to the event loop of the daemon.
 */
final class CrashCheck {

	/**
	 * The operating system of the target may still complete connections while the process
	 * is ending.
	 */
	private static final int DELAY_MILLIS = 100;

	/**
	 * Targets that have ended a connection within this time show nothing about the path
	 * to others.
	 */
	private static final int RECENT_LOSS_MILLIS = 2000;

	/**
	 * With fewer targets, all of them may have crashed on one call and its retry.
	 */
	private static final int MIN_TARGETS_FOR_WITNESS = 3;

	private final ExchangeContext context;

	private final Map<TargetId, List<LostCall>> pendingCalls = new HashMap<>();

	private final Map<TargetId, Long> lastLossMillis = new HashMap<>();

	CrashCheck(ExchangeContext context) {
		this.context = context;
	}

	/**
	 * Checks the target of a lost call. The call becomes evidence if the target has
	 * crashed.
	 * @param target the target
	 * @param call the lost call
	 */
	void check(TargetEntry target, LostCall call) {
		long nowMillis = this.context.nowMillis();
		this.lastLossMillis.values().removeIf((lossMillis) -> nowMillis - lossMillis > RECENT_LOSS_MILLIS);
		this.lastLossMillis.put(target.id(), nowMillis);
		List<LostCall> calls = this.pendingCalls.computeIfAbsent(target.id(), (id) -> new ArrayList<>());
		calls.add(call);
		if (calls.size() == 1) {
			this.context.loop().schedule(() -> connectTo(target), DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void connectTo(TargetEntry target) {
		this.context.client().checkConnection(target, (isConnected) -> {
			List<LostCall> calls = this.pendingCalls.remove(target.id());
			if (isConnected) {
				reject(target, calls, "the target accepts connections");
				return;
			}
			connectToWitness(target, calls);
		});
	}

	private void connectToWitness(TargetEntry target, List<LostCall> calls) {
		List<TargetEntry> pool = this.context.routingState().targets().readyTargets(target.pool());
		List<TargetEntry> witnesses = pool.stream()
			.filter((other) -> !other.id().equals(target.id()) && !this.lastLossMillis.containsKey(other.id()))
			.toList();
		if (!witnesses.isEmpty()) {
			TargetEntry witness = witnesses.get((int) (this.context.nextRandom() * witnesses.size()));
			this.context.client().checkConnection(witness, (isConnected) -> {
				if (isConnected) {
					accept(calls);
				}
				else {
					reject(target, calls, "another target cannot be connected to either");
				}
			});
		}
		else if (pool.size() < MIN_TARGETS_FOR_WITNESS) {
			accept(calls);
		}
		else {
			reject(target, calls, "all targets have ended connections");
		}
	}

	private void accept(List<LostCall> calls) {
		calls.forEach(this.context.quarantine()::recordLoss);
	}

	private void reject(TargetEntry target, List<LostCall> calls, String reason) {
		this.context.log()
			.write(LogEvent.CRASH_RULED_OUT, "target", target.id(), "calls", calls.size(), "reason", reason);
	}

}
