package org.mustardlane.core.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.testng.annotations.Test;

import org.mustardlane.core.model.catalogue.ServiceClass;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Measures the admission policies on a simulated fleet under a load peak, head-of-line
 * blocking and slow targets.
 *
 * <p>
 * By default only the shard owner mode runs. With {@code -Dmustardlane.print=true} all
 * modes run and their figures are printed.
 */
public class FleetMeasureTests {

	private static final boolean PRINT = Boolean.getBoolean("mustardlane.print");

	private static final int SEED = Integer.getInteger("mustardlane.firstSeed", 1);

	private static final int ENGINE_COUNT = 8;

	private static final long CHAT_COUNT = 600;

	private static final long CHAT_HASH_FACTOR = 0x9E3779B97F4A7C15L;

	/**
	 * Rate at which requests with 300 ms of work just occupy all slots. A full batch
	 * slows its requests by the factor 1.21.
	 */
	private static final double CAPACITY_PER_SECOND = ENGINE_COUNT * SimulatedEngine.SLOTS * 1000 / (330 * 1.21);

	private int nextRequestNumber;

	private static List<GrantingMode> modes() {
		return PRINT ? List.of(GrantingMode.values()) : List.of(GrantingMode.SHARD_OWNERS);
	}

	private static SimulatedFleet newFleet(GrantingMode mode) {
		AdmissionPolicy policy = (mode != GrantingMode.NAIVE) ? AdmissionPolicy.BOUNDED : AdmissionPolicy.NAIVE;
		boolean hasManyRouters = mode != GrantingMode.SINGLE_OWNER;
		return new SimulatedFleet(policy, mode != GrantingMode.INDEPENDENT, hasManyRouters ? 5 : 1,
				hasManyRouters ? 3 : 1, ENGINE_COUNT, SEED);
	}

	private void submitRequests(SimulatedFleet fleet, ServiceClass serviceClass, String organisation,
			double requestsPerSecond, double meanServiceMillis, long timeoutMillis) {
		double expectedCount = requestsPerSecond * SimulatedFleet.STEP_MILLIS / 1000;
		int count = (int) expectedCount + ((fleet.random().nextDouble() < expectedCount % 1) ? 1 : 0);
		for (int i = 0; i < count; i++) {
			long chat = (1 + fleet.random().nextInt((int) CHAT_COUNT)) * CHAT_HASH_FACTOR;
			double serviceMillis = meanServiceMillis * (0.5 + fleet.random().nextDouble());
			fleet.submit(new SimulatedRequest("r" + this.nextRequestNumber++, serviceClass, organisation, chat,
					serviceMillis, fleet.nowMillis(), timeoutMillis));
		}
	}

	private static long percentile(List<SimulatedRequest> requests, double quantile, Predicate<SimulatedRequest> filter,
			ToLongFunction<SimulatedRequest> metric) {
		long[] sorted = requests.stream()
			.filter((request) -> request.endedAtMillis > 0)
			.filter(filter)
			.mapToLong(metric)
			.sorted()
			.toArray();
		return (sorted.length != 0) ? sorted[(int) ((sorted.length - 1) * quantile)] : -1;
	}

	private static double fraction(List<SimulatedRequest> requests, Predicate<SimulatedRequest> population,
			Predicate<SimulatedRequest> condition) {
		long total = requests.stream().filter(population).count();
		return requests.stream().filter(population).filter(condition).count() / (double) Math.max(1, total);
	}

	private static void print(String format, Object... values) {
		if (PRINT) {
			System.out.println(String.format(Locale.ROOT, format, values));
		}
	}

	@Test
	public void loadPeak() {
		for (GrantingMode mode : modes()) {
			SimulatedFleet fleet = newFleet(mode);
			fleet.allowRetries();
			for (int i = 0; i < 12_000 / SimulatedFleet.STEP_MILLIS; i++) {
				double seconds = i * SimulatedFleet.STEP_MILLIS / 1000.0;
				submitMixedRequests(fleet, CAPACITY_PER_SECOND * Math.min(3, 0.5 + 2.5 * Math.max(0, seconds - 2) / 2));
				fleet.run(SimulatedFleet.STEP_MILLIS);
			}
			for (int i = 0; i < 40_000 / SimulatedFleet.STEP_MILLIS; i++) {
				submitMixedRequests(fleet, 0.5 * CAPACITY_PER_SECOND);
				fleet.run(SimulatedFleet.STEP_MILLIS);
			}
			reportLoadPeak(mode, fleet);
		}
	}

	private void submitMixedRequests(SimulatedFleet fleet, double requestsPerSecond) {
		double baseRate = 0.5 * CAPACITY_PER_SECOND;
		submitRequests(fleet, ServiceClass.URGENT, "org-6", baseRate * 0.2, 300, 2000);
		for (int i = 3; i < 7; i++) {
			submitRequests(fleet, ServiceClass.INTERACTIVE, "org-" + i, baseRate * 0.1, 300, 5000);
		}
		for (int i = 0; i < 3; i++) {
			submitRequests(fleet, ServiceClass.INTERACTIVE, "org-" + i, (requestsPerSecond - baseRate * 0.6) / 3, 300,
					5000);
		}
	}

	private static void reportLoadPeak(GrantingMode mode, SimulatedFleet fleet) {
		List<SimulatedRequest> requests = fleet.requests();
		long startMillis = requests.get(0).arrivedAtMillis;
		Predicate<SimulatedRequest> arrivedDuringPeak = (request) -> request.arrivedAtMillis > startMillis + 4000
				&& request.arrivedAtMillis < startMillis + 12_000;
		Predicate<SimulatedRequest> isUrgent = (request) -> request.serviceClass == ServiceClass.URGENT;
		Predicate<SimulatedRequest> fromQuietOrganisation = (request) -> !isUrgent.test(request)
				&& request.organisation.compareTo("org-2") > 0;
		double usefulThroughput = requests.stream()
			.filter(SimulatedRequest::isInTime)
			.filter((request) -> request.endedAtMillis > startMillis + 4000
					&& request.endedAtMillis <= startMillis + 12_000)
			.count() / (8 * CAPACITY_PER_SECOND);
		double urgentInTimeFraction = fraction(requests, isUrgent.and(arrivedDuringPeak), SimulatedRequest::isInTime);
		print("load peak %s: urgent requests in time %.3f, useful throughput %.3f,"
				+ " total time p99 of quiet organisations %d before and %d during the peak,"
				+ " their requests in time %.3f, refused %.2f, late %.3f, retry delay p50 %d p99 %d,"
				+ " retries in time %.2f, grants by excess over the load bound %s", mode, urgentInTimeFraction,
				usefulThroughput,
				percentile(requests, 0.99,
						fromQuietOrganisation.and((request) -> request.arrivedAtMillis < startMillis + 2000),
						SimulatedRequest::totalMillis),
				percentile(requests, 0.99, fromQuietOrganisation.and(arrivedDuringPeak), SimulatedRequest::totalMillis),
				fraction(requests, fromQuietOrganisation.and(arrivedDuringPeak), SimulatedRequest::isInTime),
				fraction(requests, arrivedDuringPeak, (request) -> request.refused),
				fraction(requests, arrivedDuringPeak, (request) -> request.endedAtMillis > request.deadlineMillis),
				retryPercentile(requests, 0.5), retryPercentile(requests, 0.99),
				fraction(requests, SimulatedRequest::isRetry, SimulatedRequest::isInTime), fleet.grantsByExcess());
		assertTrue(mode != GrantingMode.SHARD_OWNERS || urgentInTimeFraction >= 0.99,
				"fraction of urgent requests in time: " + urgentInTimeFraction);
	}

	private static long retryPercentile(List<SimulatedRequest> requests, double quantile) {
		List<Long> sorted = requests.stream()
			.filter((request) -> request.refused)
			.map((request) -> request.retryAfterMillis)
			.sorted(Comparator.naturalOrder())
			.toList();
		return sorted.isEmpty() ? -1 : sorted.get((int) ((sorted.size() - 1) * quantile));
	}

	@Test
	public void headOfLineBlocking() {
		for (GrantingMode mode : modes()) {
			long[] p99 = new long[2];
			double meanBulkRunning = 0;
			for (int withBulk = 0; withBulk < 2; withBulk++) {
				SimulatedFleet fleet = newFleet(mode);
				meanBulkRunning = 0;
				for (int i = 0; i < 90_000 / SimulatedFleet.STEP_MILLIS; i++) {
					submitRequests(fleet, ServiceClass.INTERACTIVE, "org-" + i % 4, CAPACITY_PER_SECOND * 0.4, 300,
							20_000);
					submitRequests(fleet, ServiceClass.BULK, "org-7", withBulk * CAPACITY_PER_SECOND / 50, 15_000,
							600_000);
					fleet.run(SimulatedFleet.STEP_MILLIS);
					meanBulkRunning += (i % 1000 == 999) ? countRunningBulk(fleet) / 18.0 : 0;
				}
				p99[withBulk] = percentile(fleet.requests(), 0.99,
						(request) -> request.serviceClass == ServiceClass.INTERACTIVE, SimulatedRequest::totalMillis);
			}
			assertTrue(mode != GrantingMode.SHARD_OWNERS || p99[1] <= 1.3 * p99[0],
					"interactive p99 beside bulk requests " + p99[1] + ", alone " + p99[0]);
			print("head-of-line blocking %s: interactive p99 %d alone, %d beside bulk requests (%.2f);"
					+ " bulk requests hold %.2f of the remaining slots", mode, p99[0], p99[1], p99[1] / (double) p99[0],
					meanBulkRunning / (ENGINE_COUNT * SimulatedEngine.SLOTS * 0.6));
		}
	}

	private static long countRunningBulk(SimulatedFleet fleet) {
		return fleet.requests()
			.stream()
			.filter((request) -> request.serviceClass == ServiceClass.BULK && request.startedAtMillis > 0
					&& request.endedAtMillis == 0)
			.count();
	}

	@Test
	public void slowedTargets() {
		for (GrantingMode mode : modes()) {
			long[] p99 = new long[2];
			long[] p95 = new long[2];
			for (int withSlowdown = 0; withSlowdown < 2; withSlowdown++) {
				SimulatedFleet fleet = newFleet(mode);
				for (int i = 0; i < 30_000 / SimulatedFleet.STEP_MILLIS; i++) {
					long phaseMillis = i * SimulatedFleet.STEP_MILLIS % 10_000;
					double slowdownFactor = (withSlowdown == 1 && phaseMillis > 3000 && phaseMillis < 8000) ? 10 : 1;
					fleet.engine(0).setSlowdownFactor(slowdownFactor);
					fleet.engine(1).setSlowdownFactor(slowdownFactor);
					submitRequests(fleet, ServiceClass.INTERACTIVE, "org-" + i % 4, CAPACITY_PER_SECOND * 0.5, 300,
							20_000);
					fleet.run(SimulatedFleet.STEP_MILLIS);
				}
				p99[withSlowdown] = percentile(fleet.requests(), 0.99, (request) -> true,
						SimulatedRequest::firstTokenMillis);
				p95[withSlowdown] = percentile(fleet.requests(), 0.95, (request) -> true,
						SimulatedRequest::firstTokenMillis);
			}
			print("slow targets %s: first token p95 %d, %d with two of eight engines slowed; p99 %d, %d (%.2f)", mode,
					p95[0], p95[1], p99[0], p99[1], p99[1] / (double) p99[0]);
		}
	}

	@Test
	public void ownersDrainOneAfterAnother() {
		SimulatedFleet fleet = newFleet(GrantingMode.SHARD_OWNERS);
		int maxEngineLoad = 0;
		for (int i = 0; i < 20_000 / SimulatedFleet.STEP_MILLIS; i++) {
			if (i % 800 == 400) {
				fleet.drain(fleet.ownerOf(i / 800), 1000);
			}
			submitRequests(fleet, ServiceClass.INTERACTIVE, "org-" + i % 4, CAPACITY_PER_SECOND * 0.8, 300, 20_000);
			fleet.run(SimulatedFleet.STEP_MILLIS);
			maxEngineLoad = Math.max(maxEngineLoad,
					fleet.engineLoads().stream().mapToInt(Integer::intValue).max().orElse(0));
		}
		fleet.run(20_000);
		long unfinished = fleet.requests()
			.stream()
			.filter((request) -> !request.refused && request.endedAtMillis == 0)
			.count();
		long refusedCount = fleet.requests().stream().filter((request) -> request.refused).count();
		print("drain: %d requests, %d refused, highest load of an engine with %d slots: %d, first token p99 %d",
				fleet.requests().size(), refusedCount, SimulatedEngine.SLOTS, maxEngineLoad,
				percentile(fleet.requests(), 0.99, (request) -> true, SimulatedRequest::firstTokenMillis));
		assertEquals(unfinished, 0);
		assertTrue(maxEngineLoad <= SimulatedEngine.SLOTS + 2, "highest load of an engine: " + maxEngineLoad);
	}

	@Test
	public void steadyLoad() {
		for (GrantingMode mode : modes()) {
			for (double loadFraction : new double[] { 0.3, 0.8 }) {
				SimulatedFleet fleet = newFleet(mode);
				long startMillis = fleet.nowMillis();
				long loadMessagesBefore = fleet.loadMessages();
				for (int i = 0; i < 30_000 / SimulatedFleet.STEP_MILLIS; i++) {
					submitRequests(fleet, ServiceClass.INTERACTIVE, "org-" + i % 4, CAPACITY_PER_SECOND * loadFraction,
							300, 20_000);
					fleet.run(SimulatedFleet.STEP_MILLIS);
				}
				double loadMessagesPerRouterSecond = (fleet.loadMessages() - loadMessagesBefore) / 15.0 / 30;
				Predicate<SimulatedRequest> arrivedAfterWarmUp = (
						request) -> request.arrivedAtMillis > startMillis + 10_000;
				print("steady load %.1f %s: cache hits %.3f, first token p50 %d p95 %d p99 %d, redirects %.3f,"
						+ " grants by excess over the load bound %s, load messages per router and second %.1f",
						loadFraction, mode,
						fraction(fleet.requests(), arrivedAfterWarmUp, (request) -> request.cacheHit),
						percentile(fleet.requests(), 0.5, arrivedAfterWarmUp, SimulatedRequest::firstTokenMillis),
						percentile(fleet.requests(), 0.95, arrivedAfterWarmUp, SimulatedRequest::firstTokenMillis),
						percentile(fleet.requests(), 0.99, arrivedAfterWarmUp, SimulatedRequest::firstTokenMillis),
						fraction(fleet.requests(), arrivedAfterWarmUp, (request) -> request.redirects > 0),
						fleet.grantsByExcess(), loadMessagesPerRouterSecond);
			}
		}
	}

	/**
	 * Selects which routers grant slots and by which policy.
	 */
	private enum GrantingMode {

		/**
		 * Shard owners with the naive round robin policy.
		 */
		NAIVE,

		/**
		 * Routers that each grant slots of all targets, based on their own grants and on
		 * delayed load reports.
		 */
		INDEPENDENT,

		/**
		 * Shard owners with the bounded-load policy.
		 */
		SHARD_OWNERS,

		/**
		 * A single router that owns all shards.
		 */
		SINGLE_OWNER

	}

}
