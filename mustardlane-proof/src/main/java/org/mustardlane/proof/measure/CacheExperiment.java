package org.mustardlane.proof.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.proof.fleet.CatalogueYaml;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.Waiting;
import org.mustardlane.standin.target.JournalRow;

/**
 * Measures cache reuse and load skew with multi-turn chats while engines leave and
 * return.
 */
final class CacheExperiment implements Experiment {

	static final String REUSE = "share of returning prompt bytes found cached";

	static final String ABOVE_BOUND = "share of samples with an engine above 1.25 of the mean, rounded up";

	static final String HIGHEST = "highest load over mean (samples with a mean of 2 or more)";

	static final String ANSWERED = "share of calls answered";

	private static final int CHATS = 300;

	private static final int TURN_BYTES = 600;

	private static final int TOKENS = 20;

	private static final long DURATION_MILLIS = 60_000;

	private static final long CHURN_MILLIS = 20_000;

	private static final long FLAP_MILLIS = 2000;

	private static final double LOAD = 0.5;

	@Override
	public String name() {
		return "cache reuse and load skew";
	}

	@Override
	public Map<String, Double> run(Bench bench) throws FleetException {
		double rate = LOAD * bench.model().requestsPerSecond(TOKENS, 2.0 * TURN_BYTES);
		Traces.CallShape shape = new Traces.CallShape("chat", "chat", CatalogueYaml.ORGANISATION, TOKENS, 0);
		List<TimedCall> trace = new Traces(bench.seed(), "cache").chats(shape, CHATS, TURN_BYTES, DURATION_MILLIS,
				rate);
		long startMillis = System.currentTimeMillis();
		Churn churn = new Churn(bench, startMillis);
		churn.start();
		try (EngineSampler sampler = new EngineSampler(bench.fleet())) {
			List<CallSample> samples = new LoadRunner(bench.route(), false).play(trace);
			Map<String, Double> figures = new LinkedHashMap<>();
			figures.put(REUSE, reuse(samples, bench.startedSince(startMillis)));
			figures.put(ANSWERED, Stats.share(samples, CallSample::isAnswered));
			figures.putAll(skew(sampler.samples()));
			return figures;
		}
		finally {
			churn.end();
		}
	}

	/**
	 * Computes the load skew between engines.
	 * @param samples the sampled loads
	 * @return the figures by name
	 */
	static Map<String, Double> skew(List<EngineSampler.LoadSample> samples) {
		List<EngineSampler.LoadSample> busy = samples.stream().filter((sample) -> sample.mean() >= 2).toList();
		long above = busy.stream().filter((sample) -> sample.highest() > Math.ceil(1.25 * sample.mean())).count();
		Map<String, Double> figures = new LinkedHashMap<>();
		figures.put(ABOVE_BOUND, busy.isEmpty() ? Double.NaN : (double) above / busy.size());
		figures.put(HIGHEST,
				busy.stream().mapToDouble((sample) -> sample.highest() / sample.mean()).max().orElse(Double.NaN));
		return figures;
	}

	private static double reuse(List<CallSample> samples, List<JournalRow> rows) {
		double returning = samples.stream().mapToLong((sample) -> sample.call().returningBytes()).sum();
		return rows.stream().mapToLong(JournalRow::cachedBytes).sum() / returning;
	}

	/**
	 * Makes one engine leave and return periodically, and another one flap.
	 */
	private static final class Churn {

		private final Bench bench;

		private final long startMillis;

		private final Thread thread = new Thread(this::run, "churn");

		private volatile boolean ended;

		Churn(Bench bench, long startMillis) {
			this.bench = bench;
			this.startMillis = startMillis;
			this.thread.setDaemon(true);
		}

		void start() {
			this.thread.start();
		}

		void end() throws FleetException {
			this.ended = true;
			Waiting.until("the churn thread has ended", () -> !this.thread.isAlive());
			this.bench.leave("engine-1", false);
			this.bench.leave("engine-2", false);
		}

		private void run() {
			try {
				while (!this.ended) {
					long elapsed = System.currentTimeMillis() - this.startMillis;
					this.bench.leave("engine-1", elapsed / CHURN_MILLIS % 2 == 1);
					this.bench.leave("engine-2", elapsed / FLAP_MILLIS % 2 == 1);
					Waiting.pause(FLAP_MILLIS / 2);
				}
			}
			catch (FleetException ex) {
				// The fleet is shutting down, which fails the experiment as well.
			}
		}

	}

}
