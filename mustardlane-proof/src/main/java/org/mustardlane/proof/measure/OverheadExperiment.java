package org.mustardlane.proof.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.mustardlane.proof.caller.CallRequest;
import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.WaitUtils;

/**
 * Measures the latency of short streams in a closed loop with a fixed number of
 * concurrent streams.
 */
final class OverheadExperiment implements Experiment {

	static final List<Integer> STREAM_COUNTS = List.of(1, 32, 256);

	private static final int TOKENS = 10;

	private static final int WARM_UP_SECONDS = 4;

	private static final int MEASURED_SECONDS = 5;

	private final AtomicInteger sentCalls = new AtomicInteger();

	@Override
	public String name() {
		return "router overhead";
	}

	static String firstByteFigure(int streams) {
		return "median of first byte in ms at %d streams".formatted(streams);
	}

	static String totalFigure(int streams) {
		return "median of whole answer in ms at %d streams".formatted(streams);
	}

	@Override
	public Map<String, Double> run(ExperimentSetup setup) throws FleetException {
		Map<String, Double> figures = new LinkedHashMap<>();
		for (int streams : STREAM_COUNTS) {
			runStreams(setup, streams, WARM_UP_SECONDS);
			List<CallSample> samples = runStreams(setup, streams, MEASURED_SECONDS);
			figures.put(firstByteFigure(streams),
					SampleStatistics.percentileMillis(samples, 50, CallResult::timeToFirstByteMicros));
			figures.put(totalFigure(streams),
					SampleStatistics.percentileMillis(samples, 50, CallResult::durationMicros));
			figures.put("share of calls answered at %d streams".formatted(streams),
					SampleStatistics.shareMatching(samples, CallSample::isAnswered));
		}
		return figures;
	}

	private List<CallSample> runStreams(ExperimentSetup setup, int streams, int seconds) throws FleetException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		List<CallSample> samples = Collections.synchronizedList(new ArrayList<>());
		List<CompletableFuture<Void>> streamFutures = new ArrayList<>();
		for (int stream = 0; stream < streams; stream++) {
			streamFutures.add(runStream(setup, deadlineNanos, samples));
		}
		for (CompletableFuture<Void> streamFuture : streamFutures) {
			WaitUtils.awaitResult("closed loop", streamFuture);
		}
		return List.copyOf(samples);
	}

	private CompletableFuture<Void> runStream(ExperimentSetup setup, long deadlineNanos, List<CallSample> samples) {
		if (System.nanoTime() > deadlineNanos) {
			return CompletableFuture.completedFuture(null);
		}
		CallRequest request = CallRequest.forTokens("chat", TOKENS, "overhead-" + this.sentCalls.incrementAndGet());
		TimedCall call = new TimedCall(0, "overhead", request, TOKENS, 0, 0);
		return setup.sender().send(call, (bytes) -> {
		}).thenComposeAsync((result) -> {
			samples.add(new CallSample(call, result, Optional.empty()));
			return runStream(setup, deadlineNanos, samples);
		});
	}

}
