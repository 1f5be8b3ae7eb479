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
final class CrestExperiment implements Experiment {

	static final String URGENT = "share of urgent calls answered in their deadline";

	static final String USEFUL = "useful tokens over capacity at the crest";

	static final String QUIET = "p99 of quiet organisations over their uncrowded one";

	static final String REFUSAL_MILLIS = "p99 of the time to a refusal in ms";

	static final String RETRIES = "share of retries after Retry-After that are answered";

	private static final int URGENT_TOKENS = 8;

	private static final int CHAT_TOKENS = 30;

	private static final int DEADLINE_MILLIS = 3000;

	private static final long CALM_MILLIS = 6000;

	private static final long SWING_MILLIS = 2000;

	private static final long CREST_MILLIS = 8000;

	private static final long END_MILLIS = CALM_MILLIS + SWING_MILLIS + CREST_MILLIS;

	private static final List<String> SURGING = List.of("pell", "alliance", "insurer");

	private static final List<String> QUIET_ORGANISATIONS = List.of("sorting", "buyers");

	private static final double URGENT_SHARE = 0.1;

	private static final double QUIET_SHARE = 0.05;

	private static final double CALM_LOAD = 0.5;

	private static final double CREST_LOAD = 3;

	@Override
	public String name() {
		return "crest";
	}

	@Override
	public Map<String, Double> run(Bench bench) throws FleetException {
		List<TimedCall> trace = trace(bench);
		long startMillis = System.currentTimeMillis();
		try (EngineSampler sampler = new EngineSampler(bench.fleet())) {
			List<CallSample> samples = new LoadRunner(bench.route(), true).play(trace);
			Map<String, Double> figures = new LinkedHashMap<>();
			figures.put(URGENT,
					Stats.share(Stats.group(samples, "urgent"), (sample) -> sample.isAnsweredWithin(DEADLINE_MILLIS)));
			figures.put(USEFUL, usefulTokens(samples) / capacityTokens(bench));
			figures.put(QUIET, quietRatio(samples));
			figures.putAll(refusals(samples));
			figures.putAll(CacheExperiment.skew(sampler.samples()
				.stream()
				.filter((sample) -> sample.atMillis() > startMillis + CALM_MILLIS
						&& sample.atMillis() < startMillis + END_MILLIS)
				.toList()));
			return figures;
		}
	}

	private static List<TimedCall> trace(Bench bench) {
		Traces traces = new Traces(bench.seed(), "crest");
		double capacity = bench.model().requestsPerSecond(CHAT_TOKENS, 0);
		List<TimedCall> trace = new ArrayList<>();
		for (String organisation : SURGING) {
			double calm = (CALM_LOAD - QUIET_SHARE * QUIET_ORGANISATIONS.size()) * capacity / SURGING.size();
			double crest = (CREST_LOAD - QUIET_SHARE * QUIET_ORGANISATIONS.size()) * capacity / SURGING.size();
			Traces.CallShape urgent = new Traces.CallShape("urgent", "triage", organisation, URGENT_TOKENS,
					DEADLINE_MILLIS);
			Traces.CallShape chat = new Traces.CallShape("surging", "chat", organisation, CHAT_TOKENS, DEADLINE_MILLIS);
			swing(traces, trace, urgent, calm * URGENT_SHARE, crest * URGENT_SHARE);
			swing(traces, trace, chat, calm * (1 - URGENT_SHARE), crest * (1 - URGENT_SHARE));
		}
		for (String organisation : QUIET_ORGANISATIONS) {
			Traces.CallShape before = new Traces.CallShape("quiet-before", "chat", organisation, CHAT_TOKENS,
					DEADLINE_MILLIS);
			Traces.CallShape crowded = new Traces.CallShape("quiet-crowded", "chat", organisation, CHAT_TOKENS,
					DEADLINE_MILLIS);
			double rate = QUIET_SHARE * capacity;
			trace.addAll(traces.arrivals(before, 0, CALM_MILLIS, rate, rate));
			trace.addAll(traces.arrivals(crowded, CALM_MILLIS, END_MILLIS, rate, rate));
		}
		return trace;
	}

	private static void swing(Traces traces, List<TimedCall> trace, Traces.CallShape shape, double calm, double crest) {
		trace.addAll(traces.arrivals(shape, 0, CALM_MILLIS, calm, calm));
		trace.addAll(traces.arrivals(shape, CALM_MILLIS, CALM_MILLIS + SWING_MILLIS, calm, crest));
		trace.addAll(traces.arrivals(shape, CALM_MILLIS + SWING_MILLIS, END_MILLIS, crest, crest));
	}

	private static double usefulTokens(List<CallSample> samples) {
		return samples.stream()
			.filter((sample) -> sample.call().atMillis() >= CALM_MILLIS + SWING_MILLIS)
			.filter((sample) -> sample.isAnsweredWithin(DEADLINE_MILLIS))
			.mapToDouble((sample) -> sample.call().tokens())
			.sum();
	}

	private static double capacityTokens(Bench bench) {
		return bench.model().tokensPerSecond() * CREST_MILLIS / 1000;
	}

	private static double quietRatio(List<CallSample> samples) {
		double before = Stats.percentileMillis(Stats.group(samples, "quiet-before"), 99, CallResult::totalMicros);
		List<CallSample> crowded = Stats.group(samples, "quiet-crowded");
		if (Stats.share(crowded, CallSample::isAnswered) < 0.99) {
			return Double.POSITIVE_INFINITY;
		}
		return Stats.percentileMillis(crowded, 99, CallResult::totalMicros) / before;
	}

	private static Map<String, Double> refusals(List<CallSample> samples) {
		List<CallSample> refused = samples.stream().filter((sample) -> sample.result().isNotRun()).toList();
		List<CallResult> retries = refused.stream().map(CallSample::retry).flatMap(Optional::stream).toList();
		Map<String, Double> figures = new LinkedHashMap<>();
		figures.put(REFUSAL_MILLIS, Stats.percentileOfAllMillis(refused, 99));
		figures.put(RETRIES, retries.isEmpty() ? Double.NaN
				: (double) retries.stream().filter(CallResult::isAnswered).count() / retries.size());
		return figures;
	}

}
