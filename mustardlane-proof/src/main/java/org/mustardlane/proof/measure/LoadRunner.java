package org.mustardlane.proof.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

import org.HdrHistogram.ConcurrentHistogram;

import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.Waiting;
import org.mustardlane.standin.target.AnswerText;

/**
 * Sends the calls of a trace at their scheduled times, without waiting for earlier calls
 * to end.
 */
final class LoadRunner {

	private static final long LONGEST_RETRY_MILLIS = 20_000;

	private static final int HISTOGRAM_DIGITS = 3;

	private final Route route;

	private final boolean withRetries;

	private final ConcurrentHistogram tokenGapMicros = new ConcurrentHistogram(HISTOGRAM_DIGITS);

	LoadRunner(Route route, boolean withRetries) {
		this.route = route;
		this.withRetries = withRetries;
	}

	/**
	 * Returns the distribution of the times between tokens.
	 * @return the histogram in microseconds
	 */
	ConcurrentHistogram tokenGapMicros() {
		return this.tokenGapMicros;
	}

	/**
	 * Sends all calls of a trace and waits for their results.
	 * @param trace the calls
	 * @return the results, ordered by send time
	 * @throws FleetException if a call does not end in time
	 */
	List<CallSample> play(List<TimedCall> trace) throws FleetException {
		List<TimedCall> ordered = new ArrayList<>(trace);
		ordered.sort(Comparator.comparingLong(TimedCall::atMillis));
		List<CompletableFuture<CallSample>> pending = new ArrayList<>();
		long startNanos = System.nanoTime();
		for (TimedCall call : ordered) {
			long waitMillis = call.atMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			if (waitMillis > 0) {
				Waiting.pause(waitMillis);
			}
			pending.add(send(call));
		}
		List<CallSample> samples = new ArrayList<>();
		for (CompletableFuture<CallSample> sample : pending) {
			samples.add(Waiting.get("call of a trace", sample));
		}
		return samples;
	}

	private CompletableFuture<CallSample> send(TimedCall call) {
		return this.route.send(call, new GapRecorder()).thenCompose((result) -> {
			Optional<String> retryAfter = result.header("x-retry-after-millis");
			if (!this.withRetries || !result.isNotRun() || retryAfter.isEmpty()) {
				return CompletableFuture.completedFuture(new CallSample(call, result, Optional.empty()));
			}
			return retry(call, result, Long.parseLong(retryAfter.get()));
		});
	}

	private CompletableFuture<CallSample> retry(TimedCall call, CallResult first, long afterMillis) {
		long waitMillis = Math.min(afterMillis, LONGEST_RETRY_MILLIS);
		return CompletableFuture
			.supplyAsync(() -> call, CompletableFuture.delayedExecutor(waitMillis, TimeUnit.MILLISECONDS))
			.thenCompose((again) -> this.route.send(again, (bytes) -> {
			}))
			.thenApply((second) -> new CallSample(call, first, Optional.of(second)));
	}

	/**
	 * Records the times between the parts of one response.
	 */
	private final class GapRecorder implements IntConsumer {

		private long lastNanos;

		private int lastBytes;

		@Override
		public void accept(int bytes) {
			long nowNanos = System.nanoTime();
			int tokens = (bytes - this.lastBytes) / AnswerText.TOKEN_BYTES;
			if (this.lastNanos > 0 && tokens > 0) {
				long gapMicros = TimeUnit.NANOSECONDS.toMicros(nowNanos - this.lastNanos) / tokens;
				LoadRunner.this.tokenGapMicros.recordValueWithCount(gapMicros, tokens);
			}
			this.lastNanos = nowNanos;
			this.lastBytes = bytes;
		}

	}

}
