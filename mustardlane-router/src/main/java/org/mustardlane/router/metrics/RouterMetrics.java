package org.mustardlane.router.metrics;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.RefuseRequest;

/**
 * The metrics of the router. The values of each label come from a fixed set, so that the
 * number of time series is bounded.
 *
 * <p>
 * Thread-safe.
 */
public final class RouterMetrics {

	private static final String ACTIONS_METRIC = "mustardlane.actions";

	private static final String REFUSALS_METRIC = "mustardlane.refusals";

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Map<Class<? extends NodeAction>, Counter> actionCounters = new ConcurrentHashMap<>();

	/**
	 * Creates a registry with metrics of JVM memory and processor use.
	 */
	public RouterMetrics() {
		new JvmMemoryMetrics().bindTo(this.registry);
		new ProcessorMetrics().bindTo(this.registry);
	}

	private Counter createCounter(Class<? extends NodeAction> actionType) {
		return Counter.builder(ACTIONS_METRIC).tag("kind", actionType.getSimpleName()).register(this.registry);
	}

	/**
	 * Counts an action of the node by its type, and a refusal also by its code and
	 * outcome.
	 * @param action the action
	 */
	public void count(NodeAction action) {
		this.actionCounters.computeIfAbsent(action.getClass(), this::createCounter).increment();
		if (action instanceof RefuseRequest refuseRequest) {
			Counter.builder(REFUSALS_METRIC)
				.tag("code", refuseRequest.refusal().code().name())
				.tag("outcome", refuseRequest.refusal().outcome().name())
				.register(this.registry)
				.increment();
		}
	}

	/**
	 * Registers the gauge of requests in flight.
	 * @param requestsInFlight supplies the number of requests in flight
	 */
	public void registerRequestsInFlight(IntSupplier requestsInFlight) {
		Gauge.builder("mustardlane.requests.in.flight", requestsInFlight::getAsInt).register(this.registry);
	}

	/**
	 * Registers the gauge of the catalogue revision in force.
	 * @param revision supplies the revision
	 */
	public void registerCatalogueRevision(LongSupplier revision) {
		Gauge.builder("mustardlane.catalogue.revision", revision::getAsLong).register(this.registry);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the metrics as text
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
