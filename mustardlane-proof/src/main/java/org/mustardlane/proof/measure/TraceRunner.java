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
import org.mustardlane.proof.fleet.WaitUtils;
import org.mustardlane.standin.target.ResponseText;

/**
 * Sends the calls of a trace at their scheduled times, without waiting for earlier calls
 * to end.
 */
final class TraceRunner {

	private static final long MAX_RETRY_DELAY_MILLIS = 20_000;

	private static final int HISTOGRAM_DIGITS = 3;

	private final CallSender sender;

	private final boolean retriesRefusals;

	private final ConcurrentHistogram tokenGapMicros = new ConcurrentHistogram(HISTOGRAM_DIGITS);

	TraceRunner(CallSender sender, boolean retriesRefusals) {
		this.sender = sender;
		this.retriesRefusals = retriesRefusals;
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
	List<CallSample> run(List<TimedCall> trace) throws FleetException {
		List<TimedCall> orderedCalls = new ArrayList<>(trace);
		orderedCalls.sort(Comparator.comparingLong(TimedCall::atMillis));
		List<CompletableFuture<CallSample>> pendingSamples = new ArrayList<>();
		long startNanos = System.nanoTime();
		for (TimedCall call : orderedCalls) {
			long delayMillis = call.atMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			if (delayMillis > 0) {
				WaitUtils.sleep(delayMillis);
			}
			pendingSamples.add(send(call));
		}
		List<CallSample> samples = new ArrayList<>();
		for (CompletableFuture<CallSample> sample : pendingSamples) {
			samples.add(WaitUtils.awaitResult("call of a trace", sample));
		}
		return samples;
	}

	private CompletableFuture<CallSample> send(TimedCall call) {
		return this.sender.send(call, new GapRecorder()).thenCompose((result) -> {
			Optional<String> retryAfter = result.header("x-retry-after-millis");
			if (!this.retriesRefusals || !result.isNotRun() || retryAfter.isEmpty()) {
				return CompletableFuture.completedFuture(new CallSample(call, result, Optional.empty()));
			}
			return retry(call, result, Long.parseLong(retryAfter.get()));
		});
	}

	private CompletableFuture<CallSample> retry(TimedCall call, CallResult firstResult, long requestedDelayMillis) {
		long delayMillis = Math.min(requestedDelayMillis, MAX_RETRY_DELAY_MILLIS);
		return CompletableFuture
			.supplyAsync(() -> call, CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS))
			.thenCompose((retriedCall) -> this.sender.send(retriedCall, (bytes) -> {
			}))
			.thenApply((retryResult) -> new CallSample(call, firstResult, Optional.of(retryResult)));
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
			int tokens = (bytes - this.lastBytes) / ResponseText.TOKEN_BYTES;
			if (this.lastNanos > 0 && tokens > 0) {
				long gapMicros = TimeUnit.NANOSECONDS.toMicros(nowNanos - this.lastNanos) / tokens;
				TraceRunner.this.tokenGapMicros.recordValueWithCount(gapMicros, tokens);
			}
			this.lastNanos = nowNanos;
			this.lastBytes = bytes;
		}

	}

}
