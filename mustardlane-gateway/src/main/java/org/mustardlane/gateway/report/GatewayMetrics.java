package org.mustardlane.gateway.report;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
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
import org.mustardlane.core.retry.AttemptResult;
import org.mustardlane.core.retry.NextStep;

/**
 * The metrics of the daemon; label values come from the routes and from closed sets.
 *
 * <p>
 * Written on the event loop of the daemon, read from any thread.
 */
public final class GatewayMetrics {

	private static final Duration[] LATENCY_BUCKETS = Stream.of(50, 100, 200, 400, 800, 1600, 3200)
		.map(Duration::ofMillis)
		.toArray(Duration[]::new);

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Map<OutcomeKey, Timer> callTimers = new HashMap<>();

	private final Map<PoolId, Timer> responseTimers = new HashMap<>();

	private final Map<AttemptKey, Counter> failureCounters = new HashMap<>();

	/**
	 * Counts a call that has ended.
	 * @param outcome how it ended
	 * @param pool where it went
	 * @param elapsedMillis how long it took
	 */
	public void recordCall(CallOutcome outcome, PoolId pool, long elapsedMillis) {
		this.callTimers.computeIfAbsent(new OutcomeKey(outcome, pool), this::createCallTimer)
			.record(elapsedMillis, TimeUnit.MILLISECONDS);
	}

	private Timer createCallTimer(OutcomeKey key) {
		return Timer.builder("mustardlane.calls")
			.serviceLevelObjectives(LATENCY_BUCKETS)
			.tag("outcome", key.outcome().name())
			.tag("pool", key.pool().value())
			.register(this.registry);
	}

	/**
	 * Counts the head of an answer.
	 * @param pool where it came from
	 * @param elapsedMillis time since the call arrived
	 */
	public void recordResponseStart(PoolId pool, long elapsedMillis) {
		this.responseTimers.computeIfAbsent(pool, this::createResponseTimer)
			.record(elapsedMillis, TimeUnit.MILLISECONDS);
	}

	private Timer createResponseTimer(PoolId pool) {
		return Timer.builder("mustardlane.answers.begun")
			.serviceLevelObjectives(LATENCY_BUCKETS)
			.tag("pool", pool.value())
			.register(this.registry);
	}

	/**
	 * Counts an attempt without a usable answer.
	 * @param result how it ended
	 * @param next what followed
	 */
	public void recordFailedAttempt(AttemptResult result, NextStep next) {
		this.failureCounters.computeIfAbsent(new AttemptKey(result, next), this::createFailureCounter).increment();
	}

	private Counter createFailureCounter(AttemptKey key) {
		return Counter.builder("mustardlane.attempts.failed")
			.tag("result", key.result().name())
			.tag("next", key.next().name())
			.register(this.registry);
	}

	/**
	 * Shows how many calls are in progress.
	 * @param supplier reads the number
	 */
	public void registerOpenCalls(IntSupplier supplier) {
		Gauge.builder("mustardlane.calls.open", supplier::getAsInt).register(this.registry);
	}

	/**
	 * Shows the version of the routes in force.
	 * @param supplier reads the version
	 */
	public void registerRoutesVersion(LongSupplier supplier) {
		Gauge.builder("mustardlane.routes.version", supplier::getAsLong).register(this.registry);
	}

	/**
	 * Shows how many targets take new work.
	 * @param supplier reads the number
	 */
	public void registerReadyTargets(IntSupplier supplier) {
		Gauge.builder("mustardlane.targets.ready", supplier::getAsInt).register(this.registry);
	}

	/**
	 * Writes all metrics in the Prometheus format.
	 * @return the text
	 */
	public String scrape() {
		return this.registry.scrape();
	}

	private record AttemptKey(AttemptResult result, NextStep next) {

	}

	private record OutcomeKey(CallOutcome outcome, PoolId pool) {

	}

}
