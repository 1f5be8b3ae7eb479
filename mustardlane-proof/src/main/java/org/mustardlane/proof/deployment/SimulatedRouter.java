package org.mustardlane.proof.deployment;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.placement.LoadTable;
import org.mustardlane.core.placement.PlacementPolicy;
import org.mustardlane.core.placement.PlacementRequest;
import org.mustardlane.core.placement.PrefixHolders;

/**
 * A simulated router that places calls with the placement policies of the gateway.
 *
 * <p>
 * Not thread-safe.
 */
final class SimulatedRouter {

	private static final int MAX_SENDS = 4;

	/**
	 * Timeout of a connection attempt to an engine in an unreachable domain.
	 */
	private static final double CONNECT_TIMEOUT_MILLIS = 150;

	private static final double SAME_DOMAIN_LATENCY_MILLIS = 1;

	private static final double CROSS_DOMAIN_LATENCY_MILLIS = 2.4;

	/**
	 * Maximum age of the load samples that routers exchange.
	 */
	private static final long MAX_SAMPLE_AGE_MILLIS = 2000;

	private final DomainId domain;

	private final PlacementPolicy policy;

	private final boolean copiesPrefixes;

	private final Simulation simulation;

	private final LoadTable loads = new LoadTable();

	private final PrefixHolders prefixHolders = new PrefixHolders();

	SimulatedRouter(DomainId domain, PlacementPolicy policy, boolean copiesPrefixes, Simulation simulation) {
		this.domain = domain;
		this.policy = policy;
		this.copiesPrefixes = copiesPrefixes;
		this.simulation = simulation;
	}

	DomainId domain() {
		return this.domain;
	}

	/**
	 * Places a call on an engine. If the engine does not accept it, the call is retried
	 * on other engines.
	 * @param call the arrived call
	 */
	void place(SimulatedCall call) {
		send(call, new HashSet<>());
	}

	private void send(SimulatedCall call, Set<TargetId> triedTargets) {
		long nowMillis = (long) this.simulation.events().nowMillis();
		List<TargetEntry> knownEngines = this.simulation.knownEngines();
		List<TargetEntry> candidates = knownEngines.stream()
			.filter((engine) -> !triedTargets.contains(engine.id()))
			.toList();
		Optional<TargetEntry> target = (triedTargets.size() < MAX_SENDS) ? this.policy
			.choose(new PlacementRequest(candidates, Optional.of(call.prefix()), this.domain, nowMillis), this.loads)
				: Optional.empty();
		if (target.isEmpty()) {
			this.simulation.recordRefusal();
			return;
		}
		triedTargets.add(target.get().id());
		if (!this.simulation.canReach(this.domain, target.get().domain())) {
			this.simulation.events()
				.schedule(CONNECT_TIMEOUT_MILLIS, () -> handleConnectTimeout(call, triedTargets, target.get()));
			return;
		}
		Optional<TargetEntry> source = this.copiesPrefixes
				? this.prefixHolders.findCopySource(call.prefix(), target.get(), knownEngines, nowMillis)
				: Optional.empty();
		double latencyMillis = target.get().domain().equals(this.domain) ? SAME_DOMAIN_LATENCY_MILLIS
				: CROSS_DOMAIN_LATENCY_MILLIS;
		this.loads.of(target.get().id()).requestStarted(nowMillis);
		this.simulation.events().schedule(latencyMillis, () -> handleArrival(call, triedTargets, target.get(), source));
	}

	private void handleConnectTimeout(SimulatedCall call, Set<TargetId> triedTargets, TargetEntry target) {
		long nowMillis = (long) this.simulation.events().nowMillis();
		this.loads.domainReachability().recordConnectFailure(target.domain(), target.id(), nowMillis);
		this.loads.of(target.id()).recordFailure(nowMillis);
		send(call, triedTargets);
	}

	private void handleArrival(SimulatedCall call, Set<TargetId> triedTargets, TargetEntry target,
			Optional<TargetEntry> source) {
		SimulatedEngine engine = this.simulation.engine(target.id());
		this.simulation.recordSend(engine);
		boolean isAccepted = engine.accept(call, source.map((peer) -> this.simulation.engine(peer.id())),
				new CallProgress(call, engine));
		if (isAccepted) {
			return;
		}
		long nowMillis = (long) this.simulation.events().nowMillis();
		this.loads.of(target.id()).requestEnded();
		if (engine.isUp()) {
			this.loads.of(target.id()).recordRejection(nowMillis);
		}
		else {
			this.loads.of(target.id()).recordFailure(nowMillis);
		}
		send(call, triedTargets);
	}

	/**
	 * Copies the recent load samples of another router.
	 * @param peer the other router
	 */
	void mergeLoads(SimulatedRouter peer) {
		double oldestMillis = this.simulation.events().nowMillis() - MAX_SAMPLE_AGE_MILLIS;
		Map.copyOf(peer.loads.snapshot()).forEach((target, load) -> {
			if (load.sample().receivedAtMillis() >= oldestMillis) {
				this.loads.of(target).updateSample(load.sample());
			}
		});
	}

	private final class CallProgress implements EngineRequest.RequestListener {

		private final SimulatedCall call;

		private final SimulatedEngine engine;

		CallProgress(SimulatedCall call, SimulatedEngine engine) {
			this.call = call;
			this.engine = engine;
		}

		@Override
		public void onFirstToken() {
			long nowMillis = (long) SimulatedRouter.this.simulation.events().nowMillis();
			SimulatedRouter.this.loads.of(this.engine.entry().id()).updateSample(this.engine.sample());
			SimulatedRouter.this.loads.of(this.engine.entry().id()).recordResponse(false);
			SimulatedRouter.this.loads.domainReachability().recordReachable(this.engine.entry().domain());
			SimulatedRouter.this.prefixHolders.recordResponse(this.call.prefix(), this.engine.entry(), nowMillis);
			SimulatedRouter.this.simulation.recordFirstToken(this.call);
		}

		@Override
		public void onCompletion() {
			SimulatedRouter.this.loads.of(this.engine.entry().id()).requestEnded();
		}

		@Override
		public void onCrash() {
			SimulatedRouter.this.prefixHolders.removeEngine(this.engine.entry().id());
			SimulatedRouter.this.loads.of(this.engine.entry().id()).requestEnded();
			SimulatedRouter.this.loads.of(this.engine.entry().id())
				.recordFailure((long) SimulatedRouter.this.simulation.events().nowMillis());
			SimulatedRouter.this.simulation.recordFailure();
		}

	}

}
