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
import org.mustardlane.proof.fleet.Waiting;

/**
 * Measures the latency of short streams in a closed loop with a fixed number of
 * concurrent streams.
 */
final class OverheadExperiment implements Experiment {

	static final List<Integer> STREAMS = List.of(1, 32, 256);

	private static final int TOKENS = 10;

	private static final int WARM_UP_SECONDS = 4;

	private static final int MEASURED_SECONDS = 5;

	private final AtomicInteger calls = new AtomicInteger();

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
	public Map<String, Double> run(Bench bench) throws FleetException {
		Map<String, Double> figures = new LinkedHashMap<>();
		for (int streams : STREAMS) {
			run(bench, streams, WARM_UP_SECONDS);
			List<CallSample> samples = run(bench, streams, MEASURED_SECONDS);
			figures.put(firstByteFigure(streams), Stats.percentileMillis(samples, 50, CallResult::firstByteMicros));
			figures.put(totalFigure(streams), Stats.percentileMillis(samples, 50, CallResult::totalMicros));
			figures.put("share of calls answered at %d streams".formatted(streams),
					Stats.share(samples, CallSample::isAnswered));
		}
		return figures;
	}

	private List<CallSample> run(Bench bench, int streams, int seconds) throws FleetException {
		long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		List<CallSample> samples = Collections.synchronizedList(new ArrayList<>());
		List<CompletableFuture<Void>> loops = new ArrayList<>();
		for (int stream = 0; stream < streams; stream++) {
			loops.add(loop(bench, untilNanos, samples));
		}
		for (CompletableFuture<Void> loop : loops) {
			Waiting.get("closed loop", loop);
		}
		return List.copyOf(samples);
	}

	private CompletableFuture<Void> loop(Bench bench, long untilNanos, List<CallSample> samples) {
		if (System.nanoTime() > untilNanos) {
			return CompletableFuture.completedFuture(null);
		}
		CallRequest request = CallRequest.ofTokens("chat", TOKENS, "overhead-" + this.calls.incrementAndGet());
		TimedCall call = new TimedCall(0, "overhead", request, TOKENS, 0, 0);
		return bench.route().send(call, (bytes) -> {
		}).thenComposeAsync((result) -> {
			samples.add(new CallSample(call, result, Optional.empty()));
			return loop(bench, untilNanos, samples);
		});
	}

}
