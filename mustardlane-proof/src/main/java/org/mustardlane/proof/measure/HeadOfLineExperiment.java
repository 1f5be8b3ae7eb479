package org.mustardlane.proof.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.fleet.CatalogueYaml;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.standin.target.JournalRow;

/**
 * Measures head-of-line blocking: short requests together with summaries that are fifty
 * times as long.
 */
final class HeadOfLineExperiment implements Experiment {

	static final String SHORT_LATENCY_RATIO = "p99 of short work over its p99 without long work";

	static final String SHORT_P99_MILLIS = "p99 of short work beside long work in ms";

	static final String LONG_WORK_SHARE = "long work done over what short work leaves";

	private static final int SHORT_TOKENS = 10;

	private static final int LONG_TOKENS = 500;

	private static final double SHORT_LOAD = 0.4;

	private static final double LONG_LOAD = 0.9;

	private static final long SHORT_ONLY_MILLIS = 8000;

	private static final long MIXED_MILLIS = 24_000;

	private static final long WARM_UP_MILLIS = 8000;

	@Override
	public String name() {
		return "head-of-line blocking";
	}

	@Override
	public Map<String, Double> run(ExperimentSetup setup) throws FleetException {
		TraceGenerator generator = new TraceGenerator(setup.seed(), "line");
		double shortRate = SHORT_LOAD * setup.engineSettings().requestsPerSecond(SHORT_TOKENS, 0);
		double longRate = LONG_LOAD * setup.engineSettings().requestsPerSecond(LONG_TOKENS, 0);
		List<TimedCall> shortOnlyTrace = generator.poissonArrivals(template("alone", "chat", SHORT_TOKENS), 0,
				SHORT_ONLY_MILLIS, shortRate, shortRate);
		List<CallSample> shortOnlySamples = new TraceRunner(setup.sender(), false).run(shortOnlyTrace);
		List<TimedCall> mixedTrace = new ArrayList<>(generator.poissonArrivals(template("beside", "chat", SHORT_TOKENS),
				0, MIXED_MILLIS, shortRate, shortRate));
		mixedTrace.addAll(generator.poissonArrivals(template("long", "summary", LONG_TOKENS), 0, MIXED_MILLIS, longRate,
				longRate));
		long startMillis = System.currentTimeMillis();
		List<CallSample> samples = new TraceRunner(setup.sender(), false).run(mixedTrace);
		double shortOnlyMillis = SampleStatistics.percentileMillis(shortOnlySamples, 99, CallResult::durationMicros);
		List<CallSample> mixedShortSamples = SampleStatistics.samplesOfGroup(samples, "beside");
		double mixedMillis = SampleStatistics.percentileMillis(mixedShortSamples, 99, CallResult::durationMicros);
		Map<String, Double> figures = new LinkedHashMap<>();
		boolean isMostlyAnswered = SampleStatistics.shareMatching(mixedShortSamples, CallSample::isAnswered) >= 0.99;
		figures.put(SHORT_LATENCY_RATIO, isMostlyAnswered ? mixedMillis / shortOnlyMillis : Double.POSITIVE_INFINITY);
		figures.put(SHORT_P99_MILLIS, mixedMillis);
		figures.put(LONG_WORK_SHARE, longWorkShare(setup, startMillis));
		return figures;
	}

	private static double longWorkShare(ExperimentSetup setup, long startMillis) throws FleetException {
		long windowStartMillis = startMillis + WARM_UP_MILLIS;
		long windowEndMillis = startMillis + MIXED_MILLIS;
		double longBusyMillis = 0;
		double shortBusyMillis = 0;
		for (JournalRow row : setup.requestsStartedSince(startMillis)) {
			long endMillis = (row.endedAtMillis() > 0) ? row.endedAtMillis() : Long.MAX_VALUE;
			double busyMillis = Math.max(0,
					Math.min(endMillis, windowEndMillis) - Math.max(row.startedAtMillis(), windowStartMillis));
			if (row.path().endsWith("/summary")) {
				longBusyMillis += busyMillis;
			}
			else {
				shortBusyMillis += busyMillis;
			}
		}
		double slotMillis = setup.engineSettings().engines() * setup.engineSettings().slots()
				* (double) (windowEndMillis - windowStartMillis);
		double availableMillis = Math.min(slotMillis - shortBusyMillis, LONG_LOAD * slotMillis);
		return longBusyMillis / availableMillis;
	}

	private static TraceGenerator.CallTemplate template(String group, String entry, int tokens) {
		return new TraceGenerator.CallTemplate(group, entry, CatalogueYaml.ORGANISATION, tokens, 0);
	}

}
