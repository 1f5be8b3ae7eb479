package org.mustardlane.proof.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.fleet.FleetException;

/**
 * Measures the service quality while the load rises from half of the capacity to three
 * times the capacity. Two organisations with constant low load share the fleet with three
 * whose load rises.
 */
final class LoadPeakExperiment implements Experiment {

	static final String URGENT_ANSWERED = "share of urgent calls answered in their deadline";

	static final String USEFUL_TOKENS = "useful tokens over capacity at the crest";

	static final String QUIET_LATENCY_RATIO = "p99 of quiet organisations over their uncrowded one";

	static final String REFUSAL_P99_MILLIS = "p99 of the time to a refusal in ms";

	static final String RETRIES_ANSWERED = "share of retries after Retry-After that are answered";

	private static final int URGENT_TOKENS = 8;

	private static final int CHAT_TOKENS = 30;

	private static final int DEADLINE_MILLIS = 3000;

	private static final long BASELINE_MILLIS = 6000;

	private static final long RAMP_MILLIS = 2000;

	private static final long PEAK_MILLIS = 8000;

	private static final long END_MILLIS = BASELINE_MILLIS + RAMP_MILLIS + PEAK_MILLIS;

	private static final List<String> RISING_LOAD_ORGANISATIONS = List.of("pell", "alliance", "insurer");

	private static final List<String> STEADY_LOAD_ORGANISATIONS = List.of("sorting", "buyers");

	private static final double URGENT_SHARE = 0.1;

	private static final double STEADY_LOAD_SHARE = 0.05;

	private static final double BASELINE_LOAD = 0.5;

	private static final double PEAK_LOAD = 3;

	@Override
	public String name() {
		return "crest";
	}

	@Override
	public Map<String, Double> run(ExperimentSetup setup) throws FleetException {
		List<TimedCall> trace = trace(setup);
		long startMillis = System.currentTimeMillis();
		try (EngineSampler sampler = new EngineSampler(setup.fleet())) {
			List<CallSample> samples = new TraceRunner(setup.sender(), true).run(trace);
			Map<String, Double> figures = new LinkedHashMap<>();
			figures.put(URGENT_ANSWERED,
					SampleStatistics.shareMatching(SampleStatistics.samplesOfGroup(samples, "urgent"),
							(sample) -> sample.isAnsweredWithin(DEADLINE_MILLIS)));
			figures.put(USEFUL_TOKENS, usefulTokens(samples) / capacityTokens(setup));
			figures.put(QUIET_LATENCY_RATIO, quietLatencyRatio(samples));
			figures.putAll(refusalFigures(samples));
			figures.putAll(CacheExperiment.loadSkew(sampler.samples()
				.stream()
				.filter((sample) -> sample.atMillis() > startMillis + BASELINE_MILLIS
						&& sample.atMillis() < startMillis + END_MILLIS)
				.toList()));
			return figures;
		}
	}

	private static List<TimedCall> trace(ExperimentSetup setup) {
		TraceGenerator generator = new TraceGenerator(setup.seed(), "crest");
		double capacityPerSecond = setup.engineSettings().requestsPerSecond(CHAT_TOKENS, 0);
		List<TimedCall> trace = new ArrayList<>();
		for (String organisation : RISING_LOAD_ORGANISATIONS) {
			double baselinePerSecond = (BASELINE_LOAD - STEADY_LOAD_SHARE * STEADY_LOAD_ORGANISATIONS.size())
					* capacityPerSecond / RISING_LOAD_ORGANISATIONS.size();
			double peakPerSecond = (PEAK_LOAD - STEADY_LOAD_SHARE * STEADY_LOAD_ORGANISATIONS.size())
					* capacityPerSecond / RISING_LOAD_ORGANISATIONS.size();
			TraceGenerator.CallTemplate urgent = new TraceGenerator.CallTemplate("urgent", "triage", organisation,
					URGENT_TOKENS, DEADLINE_MILLIS);
			TraceGenerator.CallTemplate chat = new TraceGenerator.CallTemplate("surging", "chat", organisation,
					CHAT_TOKENS, DEADLINE_MILLIS);
			addRampedArrivals(generator, trace, urgent, baselinePerSecond * URGENT_SHARE, peakPerSecond * URGENT_SHARE);
			addRampedArrivals(generator, trace, chat, baselinePerSecond * (1 - URGENT_SHARE),
					peakPerSecond * (1 - URGENT_SHARE));
		}
		for (String organisation : STEADY_LOAD_ORGANISATIONS) {
			TraceGenerator.CallTemplate baseline = new TraceGenerator.CallTemplate("quiet-before", "chat", organisation,
					CHAT_TOKENS, DEADLINE_MILLIS);
			TraceGenerator.CallTemplate underLoad = new TraceGenerator.CallTemplate("quiet-crowded", "chat",
					organisation, CHAT_TOKENS, DEADLINE_MILLIS);
			double callsPerSecond = STEADY_LOAD_SHARE * capacityPerSecond;
			trace.addAll(generator.poissonArrivals(baseline, 0, BASELINE_MILLIS, callsPerSecond, callsPerSecond));
			trace.addAll(
					generator.poissonArrivals(underLoad, BASELINE_MILLIS, END_MILLIS, callsPerSecond, callsPerSecond));
		}
		return trace;
	}

	private static void addRampedArrivals(TraceGenerator generator, List<TimedCall> trace,
			TraceGenerator.CallTemplate template, double baselinePerSecond, double peakPerSecond) {
		trace.addAll(generator.poissonArrivals(template, 0, BASELINE_MILLIS, baselinePerSecond, baselinePerSecond));
		trace.addAll(generator.poissonArrivals(template, BASELINE_MILLIS, BASELINE_MILLIS + RAMP_MILLIS,
				baselinePerSecond, peakPerSecond));
		trace.addAll(generator.poissonArrivals(template, BASELINE_MILLIS + RAMP_MILLIS, END_MILLIS, peakPerSecond,
				peakPerSecond));
	}

	private static double usefulTokens(List<CallSample> samples) {
		return samples.stream()
			.filter((sample) -> sample.call().atMillis() >= BASELINE_MILLIS + RAMP_MILLIS)
			.filter((sample) -> sample.isAnsweredWithin(DEADLINE_MILLIS))
			.mapToDouble((sample) -> sample.call().tokens())
			.sum();
	}

	private static double capacityTokens(ExperimentSetup setup) {
		return setup.engineSettings().tokensPerSecond() * PEAK_MILLIS / 1000;
	}

	private static double quietLatencyRatio(List<CallSample> samples) {
		double baseline = SampleStatistics.percentileMillis(SampleStatistics.samplesOfGroup(samples, "quiet-before"),
				99, CallResult::durationMicros);
		List<CallSample> underLoad = SampleStatistics.samplesOfGroup(samples, "quiet-crowded");
		if (SampleStatistics.shareMatching(underLoad, CallSample::isAnswered) < 0.99) {
			return Double.POSITIVE_INFINITY;
		}
		return SampleStatistics.percentileMillis(underLoad, 99, CallResult::durationMicros) / baseline;
	}

	private static Map<String, Double> refusalFigures(List<CallSample> samples) {
		List<CallSample> refused = samples.stream().filter((sample) -> sample.result().isNotRun()).toList();
		List<CallResult> retries = refused.stream().map(CallSample::retry).flatMap(Optional::stream).toList();
		Map<String, Double> figures = new LinkedHashMap<>();
		figures.put(REFUSAL_P99_MILLIS, SampleStatistics.percentileOfAllMillis(refused, 99));
		figures.put(RETRIES_ANSWERED, retries.isEmpty() ? Double.NaN
				: (double) retries.stream().filter(CallResult::isAnswered).count() / retries.size());
		return figures;
	}

}
