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
final class TailExperiment implements Experiment {

	static final String RATIO = "p99 of first token over the unslowed one";

	static final String SLOWED_MILLIS = "p99 of first token while slowed in ms";

	static final String EXTRA_WORK = "extra requests started at engines, as a share";

	private static final int TOKENS = 20;

	private static final double LOAD = 0.5;

	private static final double SLOW_FACTOR = 10;

	private static final long CALM_MILLIS = 8000;

	private static final long SLOWED_UNTIL_MILLIS = 16_000;

	private static final long END_MILLIS = 20_000;

	@Override
	public String name() {
		return "tail";
	}

	@Override
	public Map<String, Double> run(Bench bench) throws FleetException {
		Traces traces = new Traces(bench.seed(), "tail");
		double rate = LOAD * bench.model().requestsPerSecond(TOKENS, 0);
		List<TimedCall> trace = traces.arrivals(
				new Traces.CallShape("chat", "chat", CatalogueYaml.ORGANISATION, TOKENS, 0), 0, END_MILLIS, rate, rate);
		long startMillis = System.currentTimeMillis();
		CompletableFuture<Void> slowed = slowAfter(bench, CALM_MILLIS, SLOW_FACTOR);
		CompletableFuture<Void> restored = slowAfter(bench, SLOWED_UNTIL_MILLIS, 1);
		List<CallSample> samples = new LoadRunner(bench.route(), false).play(trace);
		CompletableFuture.allOf(slowed, restored).join();
		List<CallSample> calm = samples.stream().filter((sample) -> sample.call().atMillis() < CALM_MILLIS).toList();
		List<CallSample> crowded = samples.stream()
			.filter((sample) -> sample.call().atMillis() >= CALM_MILLIS
					&& sample.call().atMillis() < SLOWED_UNTIL_MILLIS)
			.toList();
		double calmMillis = Stats.percentileMillis(calm, 99, CallResult::firstByteMicros);
		double slowedMillis = Stats.percentileMillis(crowded, 99, CallResult::firstByteMicros);
		Map<String, Double> figures = new LinkedHashMap<>();
		figures.put(RATIO, slowedMillis / calmMillis);
		figures.put(SLOWED_MILLIS, slowedMillis);
		figures.put(EXTRA_WORK, (double) bench.startedSince(startMillis).size() / samples.size() - 1);
		return figures;
	}

	private static CompletableFuture<Void> slowAfter(Bench bench, long millis, double factor) {
		return CompletableFuture.runAsync(() -> {
			try {
				bench.slow("engine-1", factor);
				bench.slow("engine-2", factor);
			}
			catch (FleetException ex) {
				throw new IllegalStateException(ex);
			}
		}, CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
	}

}
