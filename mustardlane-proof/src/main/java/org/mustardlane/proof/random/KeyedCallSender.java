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
import org.mustardlane.proof.fleet.WaitUtils;
import org.mustardlane.standin.target.JournalRow;

/**
 * Sends non-idempotent requests with many idempotency keys. Each key is retried until it
 * gets a response or the attempts are used up.
 */
public final class KeyedCallSender {

	private static final int MAX_ATTEMPTS = 6;

	private static final long MIN_RETRY_DELAY_MILLIS = 100;

	private static final long MAX_RETRY_DELAY_MILLIS = 5000;

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
	public KeyedCallSender(Fleet fleet, Caller caller, long seed) {
		this.fleet = fleet;
		this.caller = caller;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
	}

	/**
	 * Sends one request for each key, with retries, and waits for all results.
	 * @param keyCount number of keys
	 * @param keysPerSecond number of new keys per second
	 * @return all calls, including retries
	 * @throws FleetException if a call does not end in time
	 */
	public List<RecordedCall> sendAll(int keyCount, int keysPerSecond) throws FleetException {
		List<CompletableFuture<Void>> pending = new ArrayList<>();
		for (int key = 0; key < keyCount; key++) {
			pending.add(sendAttempt("key-" + key, 1));
			WaitUtils.sleep(TimeUnit.SECONDS.toMillis(1) / keysPerSecond);
		}
		for (CompletableFuture<Void> keyFuture : pending) {
			WaitUtils.awaitResult("keyed call", keyFuture);
		}
		return List.copyOf(this.calls);
	}

	/**
	 * Summarises the final outcomes of the keys and the executions at the targets.
	 * @param calls all calls, in the order in which they were sent
	 * @param journal the journals of all targets
	 * @return the summary in one line
	 */
	public static String summarise(List<RecordedCall> calls, List<JournalRow> journal) {
		Map<String, List<RecordedCall>> callsByKey = calls.stream()
			.collect(Collectors.groupingBy((call) -> call.request().idempotencyKey().orElseThrow()));
		Map<String, Long> executionsByKey = journal.stream()
			.collect(Collectors.groupingBy(JournalRow::idempotencyKey, Collectors.counting()));
		List<CallResult> answeredResults = new ArrayList<>();
		List<String> refusedKeys = new ArrayList<>();
		List<String> unknownKeys = new ArrayList<>();
		callsByKey.forEach((key, keyCalls) -> {
			CallResult lastResult = lastResult(keyCalls);
			if (lastResult.isAnswered()) {
				answeredResults.add(lastResult);
			}
			else {
				(lastResult.isNotRun() ? refusedKeys : unknownKeys).add(key);
			}
		});
		return ("%d keys, %d calls: %d answered in the end, %d refused (%d executed by an earlier call), "
				+ "%d unknown (%d executed); %d executions")
			.formatted(callsByKey.size(), calls.size(), answeredResults.size(), refusedKeys.size(),
					refusedKeys.stream().filter(executionsByKey::containsKey).count(), unknownKeys.size(),
					unknownKeys.stream().filter(executionsByKey::containsKey).count(),
					executionsByKey.values().stream().mapToLong(Long::longValue).sum());
	}

	private CompletableFuture<Void> sendAttempt(String key, int attemptNumber) {
		CallRequest request = CallRequest.forTokens("release", 0, "text of " + key).withIdempotencyKey(key);
		RecordedCall call = RecordedCall.start(key + "-" + attemptNumber, this.caller, randomRouterUrl(), request, 0);
		this.calls.add(call);
		return call.result().thenCompose((result) -> {
			if (result.isAnswered() || attemptNumber == MAX_ATTEMPTS) {
				return CompletableFuture.completedFuture(null);
			}
			return CompletableFuture
				.supplyAsync(() -> key,
						CompletableFuture.delayedExecutor(retryDelayMillis(result), TimeUnit.MILLISECONDS))
				.thenCompose((retriedKey) -> sendAttempt(retriedKey, attemptNumber + 1));
		});
	}

	private static long retryDelayMillis(CallResult result) {
		long requestedMillis = result.header("x-retry-after-millis").map(Long::parseLong).orElse(0L);
		return Math.max(MIN_RETRY_DELAY_MILLIS, Math.min(requestedMillis, MAX_RETRY_DELAY_MILLIS));
	}

	private synchronized String randomRouterUrl() {
		List<RouterHandle> routers = this.fleet.runningRouters();
		return routers.get(this.random.nextInt(routers.size())).url();
	}

	private static CallResult lastResult(List<RecordedCall> calls) {
		return calls.get(calls.size() - 1).resultIfEnded().orElseThrow();
	}

}
