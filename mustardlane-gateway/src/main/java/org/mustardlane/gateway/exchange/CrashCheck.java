package org.mustardlane.gateway.exchange;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
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
 * only lost an answer. While no other target can be connected to either, this router may
 * have lost its path, or the others may have crashed as well; then it looks again, as
 * crashed targets do not all come back at the same moment. Confined to the event loop of
 * the daemon.
 */
final class CrashCheck {

	/**
	 * The operating system of the target may still complete connections while the process
	 * is ending.
	 */
	private static final int DELAY_MILLIS = 100;

	private static final int REPEAT_MILLIS = 500;

	/**
	 * Targets are back some seconds after a crash.
	 */
	private static final int MAX_REPEATS = 7;

	/**
	 * With fewer targets, all of them may have crashed on one call and its retry.
	 */
	private static final int MIN_TARGETS_FOR_WITNESS = 3;

	private static final int MAX_WITNESSES = 3;

	private final ExchangeContext context;

	private final Map<TargetId, List<LostCall>> pendingCalls = new HashMap<>();

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
		List<LostCall> calls = this.pendingCalls.computeIfAbsent(target.id(), (id) -> new ArrayList<>());
		calls.add(call);
		if (calls.size() == 1) {
			connectLater(target, DELAY_MILLIS, 0);
		}
	}

	private void connectLater(TargetEntry target, int delayMillis, int repeats) {
		this.context.loop().schedule(() -> connectTo(target, repeats), delayMillis, TimeUnit.MILLISECONDS);
	}

	private void connectTo(TargetEntry target, int repeats) {
		this.context.client().checkConnection(target, (isConnected) -> {
			if (isConnected) {
				reject(target, "the target accepts connections");
			}
			else {
				connectToWitness(target, witnesses(target), repeats);
			}
		});
	}

	// In a random order, as routers that ask for the same one might all meet a crashed
	// one.
	private Queue<TargetEntry> witnesses(TargetEntry target) {
		List<TargetEntry> others = new ArrayList<>(this.context.routingState().targets().readyTargets(target.pool()));
		others.removeIf((other) -> other.id().equals(target.id()) || this.pendingCalls.containsKey(other.id()));
		Collections.shuffle(others, new Random((long) (this.context.nextRandom() * Long.MAX_VALUE)));
		return new ArrayDeque<>(others.subList(0, Math.min(MAX_WITNESSES, others.size())));
	}

	private void connectToWitness(TargetEntry target, Queue<TargetEntry> witnesses, int repeats) {
		if (witnesses.isEmpty()) {
			handleNoWitness(target, repeats);
			return;
		}
		this.context.client().checkConnection(witnesses.remove(), (isConnected) -> {
			if (isConnected) {
				accept(target);
			}
			else {
				connectToWitness(target, witnesses, repeats);
			}
		});
	}

	private void handleNoWitness(TargetEntry target, int repeats) {
		int poolSize = this.context.routingState().targets().readyTargets(target.pool()).size();
		if (poolSize < MIN_TARGETS_FOR_WITNESS) {
			accept(target);
		}
		else if (repeats < MAX_REPEATS) {
			connectLater(target, REPEAT_MILLIS, repeats + 1);
		}
		else {
			reject(target, "no other target can be connected to either");
		}
	}

	private void accept(TargetEntry target) {
		this.pendingCalls.remove(target.id()).forEach(this.context.quarantine()::recordLoss);
	}

	private void reject(TargetEntry target, String reason) {
		List<LostCall> calls = this.pendingCalls.remove(target.id());
		this.context.log()
			.write(LogEvent.CRASH_RULED_OUT, "target", target.id(), "calls", calls.size(), "reason", reason);
	}

}
