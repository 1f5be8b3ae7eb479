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

	private static final Duration[] BUCKETS = Stream.of(50, 100, 200, 400, 800, 1600, 3200)
		.map(Duration::ofMillis)
		.toArray(Duration[]::new);

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Map<OutcomeKey, Timer> calls = new HashMap<>();

	private final Map<PoolId, Timer> answers = new HashMap<>();

	private final Map<AttemptKey, Counter> attempts = new HashMap<>();

	/**
	 * Counts a call that has ended.
	 * @param outcome how it ended
	 * @param pool where it went
	 * @param elapsedMillis how long it took
	 */
	public void callEnded(CallOutcome outcome, PoolId pool, long elapsedMillis) {
		this.calls.computeIfAbsent(new OutcomeKey(outcome, pool), this::timer)
			.record(elapsedMillis, TimeUnit.MILLISECONDS);
	}

	private Timer timer(OutcomeKey key) {
		return Timer.builder("mustardlane.calls")
			.serviceLevelObjectives(BUCKETS)
			.tag("outcome", key.outcome().name())
			.tag("pool", key.pool().value())
			.register(this.registry);
	}

	/**
	 * Counts the head of an answer.
	 * @param pool where it came from
	 * @param elapsedMillis time since the call arrived
	 */
	public void answerBegun(PoolId pool, long elapsedMillis) {
		this.answers.computeIfAbsent(pool, this::answerTimer).record(elapsedMillis, TimeUnit.MILLISECONDS);
	}

	private Timer answerTimer(PoolId pool) {
		return Timer.builder("mustardlane.answers.begun")
			.serviceLevelObjectives(BUCKETS)
			.tag("pool", pool.value())
			.register(this.registry);
	}

	/**
	 * Counts an attempt without a usable answer.
	 * @param result how it ended
	 * @param next what followed
	 */
	public void attemptFailed(AttemptResult result, NextStep next) {
		this.attempts.computeIfAbsent(new AttemptKey(result, next), this::attemptCounter).increment();
	}

	private Counter attemptCounter(AttemptKey key) {
		return Counter.builder("mustardlane.attempts.failed")
			.tag("result", key.result().name())
			.tag("next", key.next().name())
			.register(this.registry);
	}

	/**
	 * Shows how many calls are in progress.
	 * @param value reads the number
	 */
	public void gaugeOpenCalls(IntSupplier value) {
		Gauge.builder("mustardlane.calls.open", value::getAsInt).register(this.registry);
	}

	/**
	 * Shows the version of the routes in force.
	 * @param value reads the version
	 */
	public void gaugeRoutesVersion(LongSupplier value) {
		Gauge.builder("mustardlane.routes.version", value::getAsLong).register(this.registry);
	}

	/**
	 * Shows how many targets take new work.
	 * @param value reads the number
	 */
	public void gaugeReadyTargets(IntSupplier value) {
		Gauge.builder("mustardlane.targets.ready", value::getAsInt).register(this.registry);
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
