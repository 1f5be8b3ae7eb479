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

	static final String SHORT_RATIO = "p99 of short work over its p99 without long work";

	static final String SHORT_MILLIS = "p99 of short work beside long work in ms";

	static final String LONG_SHARE = "long work done over what short work leaves";

	private static final int SHORT_TOKENS = 10;

	private static final int LONG_TOKENS = 500;

	private static final double SHORT_LOAD = 0.4;

	private static final double LONG_LOAD = 0.9;

	private static final long ALONE_MILLIS = 8000;

	private static final long TOGETHER_MILLIS = 24_000;

	private static final long WARM_UP_MILLIS = 8000;

	@Override
	public String name() {
		return "head-of-line blocking";
	}

	@Override
	public Map<String, Double> run(Bench bench) throws FleetException {
		Traces traces = new Traces(bench.seed(), "line");
		double shortRate = SHORT_LOAD * bench.model().requestsPerSecond(SHORT_TOKENS, 0);
		double longRate = LONG_LOAD * bench.model().requestsPerSecond(LONG_TOKENS, 0);
		List<TimedCall> alone = traces.arrivals(shape("alone", "chat", SHORT_TOKENS), 0, ALONE_MILLIS, shortRate,
				shortRate);
		List<CallSample> aloneSamples = new LoadRunner(bench.route(), false).play(alone);
		List<TimedCall> together = new ArrayList<>(
				traces.arrivals(shape("beside", "chat", SHORT_TOKENS), 0, TOGETHER_MILLIS, shortRate, shortRate));
		together.addAll(traces.arrivals(shape("long", "summary", LONG_TOKENS), 0, TOGETHER_MILLIS, longRate, longRate));
		long startMillis = System.currentTimeMillis();
		List<CallSample> samples = new LoadRunner(bench.route(), false).play(together);
		double before = Stats.percentileMillis(aloneSamples, 99, CallResult::totalMicros);
		List<CallSample> beside = Stats.group(samples, "beside");
		double crowded = Stats.percentileMillis(beside, 99, CallResult::totalMicros);
		Map<String, Double> figures = new LinkedHashMap<>();
		boolean isServed = Stats.share(beside, CallSample::isAnswered) >= 0.99;
		figures.put(SHORT_RATIO, isServed ? crowded / before : Double.POSITIVE_INFINITY);
		figures.put(SHORT_MILLIS, crowded);
		figures.put(LONG_SHARE, longShare(bench, startMillis));
		return figures;
	}

	private static double longShare(Bench bench, long startMillis) throws FleetException {
		long fromMillis = startMillis + WARM_UP_MILLIS;
		long untilMillis = startMillis + TOGETHER_MILLIS;
		double longBusyMillis = 0;
		double shortBusyMillis = 0;
		for (JournalRow row : bench.startedSince(startMillis)) {
			long end = (row.endedAtMillis() > 0) ? row.endedAtMillis() : Long.MAX_VALUE;
			double busy = Math.max(0, Math.min(end, untilMillis) - Math.max(row.startedAtMillis(), fromMillis));
			if (row.path().endsWith("/summary")) {
				longBusyMillis += busy;
			}
			else {
				shortBusyMillis += busy;
			}
		}
		double slotMillis = bench.model().engines() * bench.model().slots() * (double) (untilMillis - fromMillis);
		double offered = Math.min(slotMillis - shortBusyMillis, LONG_LOAD * slotMillis);
		return longBusyMillis / offered;
	}

	private static Traces.CallShape shape(String group, String entry, int tokens) {
		return new Traces.CallShape(group, entry, CatalogueYaml.ORGANISATION, tokens, 0);
	}

}
