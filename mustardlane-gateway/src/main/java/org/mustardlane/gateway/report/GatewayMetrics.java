package org.mustardlane.gateway.report;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import org.mustardlane.core.model.common.PoolId;

/**
 * The metrics of the daemon; label values come from the routes and from closed sets.
 *
 * <p>
 * Written on the event loop of the daemon, read from any thread.
 */
public final class GatewayMetrics {

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Map<OutcomeKey, Timer> calls = new HashMap<>();

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
			.tag("outcome", key.outcome().name())
			.tag("pool", key.pool().value())
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

	private record OutcomeKey(CallOutcome outcome, PoolId pool) {

	}

}
