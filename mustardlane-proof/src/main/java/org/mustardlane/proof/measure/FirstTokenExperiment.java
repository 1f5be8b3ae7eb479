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

	static final String FIRST_TOKEN_P95_MILLIS = "p95 of first token in ms";

	static final String TOKEN_GAP_P95_MILLIS = "p95 between tokens in ms";

	static final String ANSWERED_SHARE = "share of calls answered";

	private static final int TOKENS = 30;

	private static final double LOAD_FACTOR = 0.8;

	private static final long DURATION_MILLIS = 15_000;

	private static final double MICROS_PER_MILLI = 1000;

	@Override
	public String name() {
		return "first token and tokens";
	}

	@Override
	public Map<String, Double> run(ExperimentSetup setup) throws FleetException {
		double callsPerSecond = LOAD_FACTOR * setup.engineSettings().requestsPerSecond(TOKENS, 0);
		List<TimedCall> trace = new TraceGenerator(setup.seed(), "first").poissonArrivals(
				new TraceGenerator.CallTemplate("chat", "chat", CatalogueYaml.ORGANISATION, TOKENS, 0), 0,
				DURATION_MILLIS, callsPerSecond, callsPerSecond);
		TraceRunner runner = new TraceRunner(setup.sender(), false);
		List<CallSample> samples = runner.run(trace);
		Map<String, Double> figures = new LinkedHashMap<>();
		figures.put(FIRST_TOKEN_P95_MILLIS,
				SampleStatistics.percentileMillis(samples, 95, CallResult::timeToFirstByteMicros));
		figures.put(TOKEN_GAP_P95_MILLIS, runner.tokenGapMicros().getValueAtPercentile(95) / MICROS_PER_MILLI);
		figures.put(ANSWERED_SHARE, SampleStatistics.shareMatching(samples, CallSample::isAnswered));
		return figures;
	}

}
