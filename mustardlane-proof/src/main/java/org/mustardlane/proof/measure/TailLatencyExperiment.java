package org.mustardlane.proof.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.fleet.CatalogueYaml;
import org.mustardlane.proof.fleet.FleetException;

/**
 * Measures the tail of the time to the first token while two engines run ten times slower
 * for eight seconds.
 */
final class TailLatencyExperiment implements Experiment {

	static final String FIRST_TOKEN_RATIO = "p99 of first token over the unslowed one";

	static final String SLOWED_FIRST_TOKEN_P99_MILLIS = "p99 of first token while slowed in ms";

	static final String EXTRA_REQUESTS = "extra requests started at engines, as a share";

	private static final int TOKENS = 20;

	private static final double LOAD_FACTOR = 0.5;

	private static final double SLOW_FACTOR = 10;

	private static final long BASELINE_MILLIS = 8000;

	private static final long SLOWDOWN_END_MILLIS = 16_000;

	private static final long END_MILLIS = 20_000;

	@Override
	public String name() {
		return "tail";
	}

	@Override
	public Map<String, Double> run(ExperimentSetup setup) throws FleetException {
		TraceGenerator generator = new TraceGenerator(setup.seed(), "tail");
		double callsPerSecond = LOAD_FACTOR * setup.engineSettings().requestsPerSecond(TOKENS, 0);
		List<TimedCall> trace = generator.poissonArrivals(
				new TraceGenerator.CallTemplate("chat", "chat", CatalogueYaml.ORGANISATION, TOKENS, 0), 0, END_MILLIS,
				callsPerSecond, callsPerSecond);
		long startMillis = System.currentTimeMillis();
		CompletableFuture<Void> slowdown = scheduleSlowFactor(setup, BASELINE_MILLIS, SLOW_FACTOR);
		CompletableFuture<Void> recovery = scheduleSlowFactor(setup, SLOWDOWN_END_MILLIS, 1);
		List<CallSample> samples = new TraceRunner(setup.sender(), false).run(trace);
		CompletableFuture.allOf(slowdown, recovery).join();
		List<CallSample> baselineSamples = samples.stream()
			.filter((sample) -> sample.call().atMillis() < BASELINE_MILLIS)
			.toList();
		List<CallSample> slowedSamples = samples.stream()
			.filter((sample) -> sample.call().atMillis() >= BASELINE_MILLIS
					&& sample.call().atMillis() < SLOWDOWN_END_MILLIS)
			.toList();
		double baselineMillis = SampleStatistics.percentileMillis(baselineSamples, 99,
				CallResult::timeToFirstByteMicros);
		double slowedMillis = SampleStatistics.percentileMillis(slowedSamples, 99, CallResult::timeToFirstByteMicros);
		Map<String, Double> figures = new LinkedHashMap<>();
		figures.put(FIRST_TOKEN_RATIO, slowedMillis / baselineMillis);
		figures.put(SLOWED_FIRST_TOKEN_P99_MILLIS, slowedMillis);
		figures.put(EXTRA_REQUESTS, (double) setup.requestsStartedSince(startMillis).size() / samples.size() - 1);
		return figures;
	}

	private static CompletableFuture<Void> scheduleSlowFactor(ExperimentSetup setup, long millis, double factor) {
		return CompletableFuture.runAsync(() -> {
			try {
				setup.setSlowFactor("engine-1", factor);
				setup.setSlowFactor("engine-2", factor);
			}
			catch (FleetException ex) {
				throw new IllegalStateException(ex);
			}
		}, CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
	}

}
