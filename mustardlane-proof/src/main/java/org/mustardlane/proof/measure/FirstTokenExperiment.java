package org.mustardlane.proof.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.fleet.CatalogueYaml;
import org.mustardlane.proof.fleet.FleetException;

/**
 * Measures the time to the first token and the time between tokens at 0.8 of capacity.
 */
final class FirstTokenExperiment implements Experiment {

	static final String FIRST_MILLIS = "p95 of first token in ms";

	static final String GAP_MILLIS = "p95 between tokens in ms";

	static final String ANSWERED = "share of calls answered";

	private static final int TOKENS = 30;

	private static final double LOAD = 0.8;

	private static final long DURATION_MILLIS = 15_000;

	private static final double MICROS_PER_MILLI = 1000;

	@Override
	public String name() {
		return "first token and tokens";
	}

	@Override
	public Map<String, Double> run(Bench bench) throws FleetException {
		double rate = LOAD * bench.model().requestsPerSecond(TOKENS, 0);
		List<TimedCall> trace = new Traces(bench.seed(), "first").arrivals(
				new Traces.CallShape("chat", "chat", CatalogueYaml.ORGANISATION, TOKENS, 0), 0, DURATION_MILLIS, rate,
				rate);
		LoadRunner runner = new LoadRunner(bench.route(), false);
		List<CallSample> samples = runner.play(trace);
		Map<String, Double> figures = new LinkedHashMap<>();
		figures.put(FIRST_MILLIS, Stats.percentileMillis(samples, 95, CallResult::firstByteMicros));
		figures.put(GAP_MILLIS, runner.tokenGapMicros().getValueAtPercentile(95) / MICROS_PER_MILLI);
		figures.put(ANSWERED, Stats.share(samples, CallSample::isAnswered));
		return figures;
	}

}
