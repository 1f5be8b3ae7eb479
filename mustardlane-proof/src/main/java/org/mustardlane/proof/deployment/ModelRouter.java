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
final class ModelRouter {

	private static final int MOST_SENDS = 4;

	/**
	 * Timeout of a connection attempt to an engine in an unreachable domain.
	 */
	private static final double CONNECT_TIMEOUT_MILLIS = 150;

	private static final double NEAR_MILLIS = 1;

	private static final double FAR_MILLIS = 2.4;

	/**
	 * Maximum age of the load samples that routers exchange.
	 */
	private static final long MOST_SAMPLE_AGE_MILLIS = 2000;

	private final DomainId domain;

	private final PlacementPolicy policy;

	private final boolean copies;

	private final Deployment deployment;

	private final LoadTable loads = new LoadTable();

	private final PrefixHolders holders = new PrefixHolders();

	ModelRouter(DomainId domain, PlacementPolicy policy, boolean copies, Deployment deployment) {
		this.domain = domain;
		this.policy = policy;
		this.copies = copies;
		this.deployment = deployment;
	}

	DomainId domain() {
		return this.domain;
	}

	/**
	 * Places a call on an engine. If the engine does not accept it, the call is retried
	 * on other engines.
	 * @param call the arrived call
	 */
	void place(ModelCall call) {
		send(call, new HashSet<>());
	}

	private void send(ModelCall call, Set<TargetId> tried) {
		long now = (long) this.deployment.events().nowMillis();
		List<TargetEntry> known = this.deployment.knownEngines();
		List<TargetEntry> candidates = known.stream().filter((engine) -> !tried.contains(engine.id())).toList();
		Optional<TargetEntry> target = (tried.size() < MOST_SENDS) ? this.policy
			.choose(new PlacementRequest(candidates, Optional.of(call.prefix()), this.domain, now), this.loads)
				: Optional.empty();
		if (target.isEmpty()) {
			this.deployment.refused();
			return;
		}
		tried.add(target.get().id());
		if (!this.deployment.reaches(this.domain, target.get().domain())) {
			this.deployment.events().after(CONNECT_TIMEOUT_MILLIS, () -> unreachable(call, tried, target.get()));
			return;
		}
		Optional<TargetEntry> source = this.copies
				? this.holders.findCopySource(call.prefix(), target.get(), known, now) : Optional.empty();
		double linkMillis = target.get().domain().equals(this.domain) ? NEAR_MILLIS : FAR_MILLIS;
		this.loads.of(target.get().id()).requestStarted();
		this.deployment.events().after(linkMillis, () -> arrive(call, tried, target.get(), source));
	}

	private void unreachable(ModelCall call, Set<TargetId> tried, TargetEntry target) {
		long now = (long) this.deployment.events().nowMillis();
		this.loads.domainReachability().recordConnectFailure(target.domain(), target.id(), now);
		this.loads.of(target.id()).recordFailure(now);
		send(call, tried);
	}

	private void arrive(ModelCall call, Set<TargetId> tried, TargetEntry target, Optional<TargetEntry> source) {
		ModelEngine engine = this.deployment.engine(target.id());
		this.deployment.noteArrival(engine);
		boolean taken = engine.accept(call, source.map((other) -> this.deployment.engine(other.id())),
				new Progress(call, engine));
		if (taken) {
			return;
		}
		long now = (long) this.deployment.events().nowMillis();
		this.loads.of(target.id()).requestEnded();
		if (engine.isUp()) {
			this.loads.of(target.id()).recordRejection(now);
		}
		else {
			this.loads.of(target.id()).recordFailure(now);
		}
		send(call, tried);
	}

	/**
	 * Copies the recent load samples of another router.
	 * @param other the other router
	 */
	void learnLoads(ModelRouter other) {
		double oldest = this.deployment.events().nowMillis() - MOST_SAMPLE_AGE_MILLIS;
		Map.copyOf(other.loads.snapshot()).forEach((target, load) -> {
			if (load.sample().receivedAtMillis() >= oldest) {
				this.loads.of(target).updateSample(load.sample());
			}
		});
	}

	private final class Progress implements ModelRun.RunListener {

		private final ModelCall call;

		private final ModelEngine engine;

		Progress(ModelCall call, ModelEngine engine) {
			this.call = call;
			this.engine = engine;
		}

		@Override
		public void begun() {
			long now = (long) ModelRouter.this.deployment.events().nowMillis();
			ModelRouter.this.loads.of(this.engine.entry().id()).updateSample(this.engine.sample());
			ModelRouter.this.loads.of(this.engine.entry().id()).recordResponse(false);
			ModelRouter.this.loads.domainReachability().recordReachable(this.engine.entry().domain());
			ModelRouter.this.holders.recordResponse(this.call.prefix(), this.engine.entry(), now);
			ModelRouter.this.deployment.begun(this.call);
		}

		@Override
		public void ended() {
			ModelRouter.this.loads.of(this.engine.entry().id()).requestEnded();
		}

		@Override
		public void broken() {
			ModelRouter.this.holders.removeEngine(this.engine.entry().id());
			ModelRouter.this.loads.of(this.engine.entry().id()).requestEnded();
			ModelRouter.this.loads.of(this.engine.entry().id())
				.recordFailure((long) ModelRouter.this.deployment.events().nowMillis());
			ModelRouter.this.deployment.brokenOff();
		}

	}

}
