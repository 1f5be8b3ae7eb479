package org.mustardlane.proof.random;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.mustardlane.proof.caller.CallRequest;
import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.caller.Caller;
import org.mustardlane.proof.caller.RecordedCall;
import org.mustardlane.proof.fleet.Fleet;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.RouterHandle;
import org.mustardlane.proof.fleet.Waiting;
import org.mustardlane.standin.target.JournalRow;

/**
 * Sends non-idempotent requests with many idempotency keys. Each key is retried until it
 * gets a response or the attempts are used up.
 */
public final class KeyedCalls {

	private static final int ATTEMPTS = 6;

	private static final long LEAST_RETRY_MILLIS = 100;

	private static final long MOST_RETRY_MILLIS = 5000;

	private final Fleet fleet;

	private final Caller caller;

	private final UniformRandomProvider random;

	private final List<RecordedCall> calls = Collections.synchronizedList(new ArrayList<>());

	/**
	 * Creates a sender.
	 * @param fleet the fleet whose routers are called
	 * @param caller the client that sends the requests
	 * @param seed seed of the random choice of routers
	 */
	public KeyedCalls(Fleet fleet, Caller caller, long seed) {
		this.fleet = fleet;
		this.caller = caller;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
	}

	/**
	 * Sends one request for each key, with retries, and waits for all results.
	 * @param keys number of keys
	 * @param perSecond number of new keys per second
	 * @return all calls, including retries
	 * @throws FleetException if a call does not end in time
	 */
	public List<RecordedCall> run(int keys, int perSecond) throws FleetException {
		List<CompletableFuture<Void>> pending = new ArrayList<>();
		for (int key = 0; key < keys; key++) {
			pending.add(attempt("key-" + key, 1));
			Waiting.pause(TimeUnit.SECONDS.toMillis(1) / perSecond);
		}
		for (CompletableFuture<Void> one : pending) {
			Waiting.get("keyed call", one);
		}
		return List.copyOf(this.calls);
	}

	/**
	 * Summarises the final outcomes of the keys and the executions at the targets.
	 * @param calls all calls, in the order in which they were sent
	 * @param journal the journals of all targets
	 * @return the summary in one line
	 */
	public static String summary(List<RecordedCall> calls, List<JournalRow> journal) {
		Map<String, List<RecordedCall>> byKey = calls.stream()
			.collect(Collectors.groupingBy((call) -> call.request().idempotencyKey().orElseThrow()));
		Map<String, Long> executions = journal.stream()
			.collect(Collectors.groupingBy(JournalRow::idempotencyKey, Collectors.counting()));
		List<CallResult> answered = new ArrayList<>();
		List<String> refused = new ArrayList<>();
		List<String> unknown = new ArrayList<>();
		byKey.forEach((key, list) -> {
			CallResult last = last(list);
			if (last.isAnswered()) {
				answered.add(last);
			}
			else {
				(last.isNotRun() ? refused : unknown).add(key);
			}
		});
		return ("%d keys, %d calls: %d answered in the end, %d refused (%d executed by an earlier call), "
				+ "%d unknown (%d executed); %d executions")
			.formatted(byKey.size(), calls.size(), answered.size(), refused.size(),
					refused.stream().filter(executions::containsKey).count(), unknown.size(),
					unknown.stream().filter(executions::containsKey).count(),
					executions.values().stream().mapToLong(Long::longValue).sum());
	}

	private CompletableFuture<Void> attempt(String key, int number) {
		CallRequest request = CallRequest.ofTokens("release", 0, "text of " + key).withKey(key);
		RecordedCall call = RecordedCall.begin(key + "-" + number, this.caller, anyRouterUrl(), request, 0);
		this.calls.add(call);
		return call.result().thenCompose((result) -> {
			if (result.isAnswered() || number == ATTEMPTS) {
				return CompletableFuture.completedFuture(null);
			}
			return CompletableFuture
				.supplyAsync(() -> key, CompletableFuture.delayedExecutor(retryMillis(result), TimeUnit.MILLISECONDS))
				.thenCompose((again) -> attempt(again, number + 1));
		});
	}

	private static long retryMillis(CallResult result) {
		long asked = result.header("x-retry-after-millis").map(Long::parseLong).orElse(0L);
		return Math.max(LEAST_RETRY_MILLIS, Math.min(asked, MOST_RETRY_MILLIS));
	}

	private synchronized String anyRouterUrl() {
		List<RouterHandle> routers = this.fleet.liveRouters();
		return routers.get(this.random.nextInt(routers.size())).url();
	}

	private static CallResult last(List<RecordedCall> calls) {
		return calls.get(calls.size() - 1).ended().orElseThrow();
	}

}
