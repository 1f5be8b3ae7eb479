package org.mustardlane.proof.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.proof.fleet.CatalogueYaml;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.WaitUtils;
import org.mustardlane.standin.target.JournalRow;

/**
 * Measures cache reuse and load skew with multi-turn chats while engines leave and
 * return.
 */
final class CacheExperiment implements Experiment {

	static final String CACHE_REUSE = "share of returning prompt bytes found cached";

	static final String OVERLOADED_SAMPLE_SHARE = "share of samples with an engine above 1.25 of the mean, rounded up";

	static final String MAX_LOAD_RATIO = "highest load over mean (samples with a mean of 2 or more)";

	static final String ANSWERED_SHARE = "share of calls answered";

	private static final int CHATS = 300;

	private static final int TURN_BYTES = 600;

	private static final int TOKENS = 20;

	private static final long DURATION_MILLIS = 60_000;

	private static final long LEAVE_PERIOD_MILLIS = 20_000;

	private static final long FLAP_PERIOD_MILLIS = 2000;

	private static final double LOAD_FACTOR = 0.5;

	@Override
	public String name() {
		return "cache reuse and load skew";
	}

	@Override
	public Map<String, Double> run(ExperimentSetup setup) throws FleetException {
		double turnsPerSecond = LOAD_FACTOR * setup.engineSettings().requestsPerSecond(TOKENS, 2.0 * TURN_BYTES);
		TraceGenerator.CallTemplate template = new TraceGenerator.CallTemplate("chat", "chat",
				CatalogueYaml.ORGANISATION, TOKENS, 0);
		List<TimedCall> trace = new TraceGenerator(setup.seed(), "cache").multiTurnChats(template, CHATS, TURN_BYTES,
				DURATION_MILLIS, turnsPerSecond);
		long startMillis = System.currentTimeMillis();
		EngineChurn churn = new EngineChurn(setup, startMillis);
		churn.start();
		try (EngineSampler sampler = new EngineSampler(setup.fleet())) {
			List<CallSample> samples = new TraceRunner(setup.sender(), false).run(trace);
			Map<String, Double> figures = new LinkedHashMap<>();
			figures.put(CACHE_REUSE, cacheReuseShare(samples, setup.requestsStartedSince(startMillis)));
			figures.put(ANSWERED_SHARE, SampleStatistics.shareMatching(samples, CallSample::isAnswered));
			figures.putAll(loadSkew(sampler.samples()));
			return figures;
		}
		finally {
			churn.stop();
		}
	}

	/**
	 * Computes the load skew between engines.
	 * @param samples the sampled loads
	 * @return the figures by name
	 */
	static Map<String, Double> loadSkew(List<EngineSampler.EngineLoads> samples) {
		List<EngineSampler.EngineLoads> busySamples = samples.stream().filter((sample) -> sample.mean() >= 2).toList();
		long overloadedSamples = busySamples.stream()
			.filter((sample) -> sample.maximum() > Math.ceil(1.25 * sample.mean()))
			.count();
		Map<String, Double> figures = new LinkedHashMap<>();
		figures.put(OVERLOADED_SAMPLE_SHARE,
				busySamples.isEmpty() ? Double.NaN : (double) overloadedSamples / busySamples.size());
		figures.put(MAX_LOAD_RATIO,
				busySamples.stream()
					.mapToDouble((sample) -> sample.maximum() / sample.mean())
					.max()
					.orElse(Double.NaN));
		return figures;
	}

	private static double cacheReuseShare(List<CallSample> samples, List<JournalRow> rows) {
		double returningBytes = samples.stream().mapToLong((sample) -> sample.call().returningBytes()).sum();
		return rows.stream().mapToLong(JournalRow::cachedBytes).sum() / returningBytes;
	}

	/**
	 * Makes one engine leave and return periodically, and another one flap.
	 */
	private static final class EngineChurn {

		private final ExperimentSetup setup;

		private final long startMillis;

		private final Thread thread = new Thread(this::run, "churn");

		private volatile boolean stopped;

		EngineChurn(ExperimentSetup setup, long startMillis) {
			this.setup = setup;
			this.startMillis = startMillis;
			this.thread.setDaemon(true);
		}

		void start() {
			this.thread.start();
		}

		void stop() throws FleetException {
			this.stopped = true;
			WaitUtils.awaitCondition("the churn thread has ended", () -> !this.thread.isAlive());
			this.setup.setLeaving("engine-1", false);
			this.setup.setLeaving("engine-2", false);
		}

		private void run() {
			try {
				while (!this.stopped) {
					long elapsedMillis = System.currentTimeMillis() - this.startMillis;
					this.setup.setLeaving("engine-1", elapsedMillis / LEAVE_PERIOD_MILLIS % 2 == 1);
					this.setup.setLeaving("engine-2", elapsedMillis / FLAP_PERIOD_MILLIS % 2 == 1);
					WaitUtils.sleep(FLAP_PERIOD_MILLIS / 2);
				}
			}
			catch (FleetException ex) {
				// The fleet is shutting down, which fails the experiment as well.
			}
		}

	}

}
