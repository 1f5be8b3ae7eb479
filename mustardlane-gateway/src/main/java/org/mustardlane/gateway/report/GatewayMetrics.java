package org.mustardlane.gateway.report;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.retry.AttemptFailure;
import org.mustardlane.core.retry.NextStep;

/**
 * Metrics of the daemon. Label values come from the routes and from fixed sets, which
 * bounds the number of time series.
 *
 * <p>
 * Updates are kept until {@link #open} is called, so that the start of the metrics
 * library does not delay callers. Updated on the event loop of the daemon; may be read
 * from any thread once it is open.
 */
public final class GatewayMetrics {

	private static final Duration[] LATENCY_BUCKETS = Stream.of(50, 100, 200, 400, 800, 1600, 3200)
		.map(Duration::ofMillis)
		.toArray(Duration[]::new);

	/**
	 * Limits the memory in use until {@link #open} is called.
	 */
	private static final int MAX_PENDING_UPDATES = 4096;

	private final Queue<Runnable> pendingUpdates = new ArrayDeque<>();

	private volatile Optional<PrometheusMeterRegistry> registry = Optional.empty();

	private final Map<OutcomeKey, Timer> callTimers = new HashMap<>();

	private final Map<PoolId, Timer> responseTimers = new HashMap<>();

	private final Map<AttemptKey, Counter> failureCounters = new HashMap<>();

	/**
	 * Starts the metrics library and applies the updates since the start of the process.
	 */
	public void open() {
		this.registry = Optional.of(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
		this.pendingUpdates.forEach(Runnable::run);
		this.pendingUpdates.clear();
	}

	private void update(Runnable change) {
		if (this.registry.isPresent()) {
			change.run();
		}
		else if (this.pendingUpdates.size() < MAX_PENDING_UPDATES) {
			this.pendingUpdates.add(change);
		}
	}

	private PrometheusMeterRegistry openRegistry() {
		return this.registry.orElseThrow();
	}

	/**
	 * Records a call that has ended.
	 * @param outcome outcome of the call
	 * @param pool pool that the call was routed to
	 * @param elapsedMillis time from the arrival to the end of the call
	 */
	public void recordCall(CallOutcome outcome, PoolId pool, long elapsedMillis) {
		update(() -> this.callTimers.computeIfAbsent(new OutcomeKey(outcome, pool), this::createCallTimer)
			.record(elapsedMillis, TimeUnit.MILLISECONDS));
	}

	private Timer createCallTimer(OutcomeKey key) {
		return Timer.builder("mustardlane.calls")
			.serviceLevelObjectives(LATENCY_BUCKETS)
			.tag("outcome", key.outcome().name())
			.tag("pool", key.pool().value())
			.register(openRegistry());
	}

	/**
	 * Records the arrival of a response head.
	 * @param pool pool of the target
	 * @param elapsedMillis time since the arrival of the call
	 */
	public void recordResponseStart(PoolId pool, long elapsedMillis) {
		update(() -> this.responseTimers.computeIfAbsent(pool, this::createResponseTimer)
			.record(elapsedMillis, TimeUnit.MILLISECONDS));
	}

	private Timer createResponseTimer(PoolId pool) {
		return Timer.builder("mustardlane.answers.begun")
			.serviceLevelObjectives(LATENCY_BUCKETS)
			.tag("pool", pool.value())
			.register(openRegistry());
	}

	/**
	 * Counts an attempt that ended without a usable response.
	 * @param failure how the attempt failed
	 * @param next step that follows the attempt
	 */
	public void recordFailedAttempt(AttemptFailure failure, NextStep next) {
		update(() -> this.failureCounters.computeIfAbsent(new AttemptKey(failure, next), this::createFailureCounter)
			.increment());
	}

	private Counter createFailureCounter(AttemptKey key) {
		return Counter.builder("mustardlane.attempts.failed")
			.tag("result", key.failure().name())
			.tag("next", key.next().name())
			.register(openRegistry());
	}

	/**
	 * Counts a call that is refused because of a quarantine.
	 */
	public void recordQuarantinedCall() {
		update(() -> openRegistry().counter("mustardlane.calls.quarantined").increment());
	}

	/**
	 * Registers the gauge of the quarantines in force.
	 * @param supplier supplies the number of quarantines
	 */
	public void registerQuarantines(IntSupplier supplier) {
		Gauge.builder("mustardlane.quarantines", supplier::getAsInt).register(openRegistry());
	}

	/**
	 * Registers the gauge of the calls in progress.
	 * @param supplier supplies the number of calls
	 */
	public void registerOpenCalls(IntSupplier supplier) {
		Gauge.builder("mustardlane.calls.open", supplier::getAsInt).register(openRegistry());
	}

	/**
	 * Registers the gauge of the version of the routes in force.
	 * @param supplier supplies the version
	 */
	public void registerRoutesVersion(LongSupplier supplier) {
		Gauge.builder("mustardlane.routes.version", supplier::getAsLong).register(openRegistry());
	}

	/**
	 * Registers the gauge of the targets that accept new calls.
	 * @param supplier supplies the number of targets
	 */
	public void registerReadyTargets(IntSupplier supplier) {
		Gauge.builder("mustardlane.targets.ready", supplier::getAsInt).register(openRegistry());
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the metrics
	 */
	public String scrape() {
		return this.registry.map(PrometheusMeterRegistry::scrape).orElse("");
	}

	private record AttemptKey(AttemptFailure failure, NextStep next) {

	}

	private record OutcomeKey(CallOutcome outcome, PoolId pool) {

	}

}
