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
 * The metrics of the daemon; label values come from closed sets only.
 *
 * <p>
 * Thread-safe.
 */
public final class RouterMetrics {

	private static final String ACTIONS = "mustardlane.actions";

	private static final String REFUSALS = "mustardlane.refusals";

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Map<Class<? extends NodeAction>, Counter> actions = new ConcurrentHashMap<>();

	/**
	 * Creates the metrics.
	 */
	public RouterMetrics() {
		new JvmMemoryMetrics().bindTo(this.registry);
		new ProcessorMetrics().bindTo(this.registry);
	}

	private Counter counter(Class<? extends NodeAction> kind) {
		return Counter.builder(ACTIONS).tag("kind", kind.getSimpleName()).register(this.registry);
	}

	/**
	 * Counts an action of the node.
	 * @param action the action
	 */
	public void count(NodeAction action) {
		this.actions.computeIfAbsent(action.getClass(), this::counter).increment();
		if (action instanceof RefuseRequest refuse) {
			Counter.builder(REFUSALS)
				.tag("code", refuse.refusal().code().name())
				.tag("outcome", refuse.refusal().outcome().name())
				.register(this.registry)
				.increment();
		}
	}

	/**
	 * Shows how many requests are in flight.
	 * @param value reads the number
	 */
	public void gaugeInFlight(IntSupplier value) {
		Gauge.builder("mustardlane.requests.in.flight", value::getAsInt).register(this.registry);
	}

	/**
	 * Shows the revision of the catalogue in force.
	 * @param value reads the revision
	 */
	public void gaugeCatalogueRevision(LongSupplier value) {
		Gauge.builder("mustardlane.catalogue.revision", value::getAsLong).register(this.registry);
	}

	/**
	 * Writes all metrics in the Prometheus format.
	 * @return the text
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
