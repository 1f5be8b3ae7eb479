package org.mustardlane.proof.deployment;

/**
 * An event injected into a running simulation.
 */
public interface InjectedEvent {

	/**
	 * Schedules the event.
	 * @param simulation the simulation
	 */
	void schedule(Simulation simulation);

	/**
	 * An engine crashes and restarts with an empty cache.
	 *
	 * @param atMillis the start time in simulated milliseconds
	 * @param durationMillis the downtime in milliseconds
	 * @param engineIndex the index of the engine
	 */
	record EngineCrash(int atMillis, int durationMillis, int engineIndex) implements InjectedEvent {

		@Override
		public void schedule(Simulation simulation) {
			simulation.events().schedule(this.atMillis, () -> simulation.crashEngine(this.engineIndex));
			simulation.events()
				.schedule(this.atMillis + this.durationMillis, () -> simulation.restartEngine(this.engineIndex));
		}

	}

	/**
	 * An engine with an empty cache joins.
	 *
	 * @param atMillis the start time in simulated milliseconds
	 */
	record EngineJoin(int atMillis) implements InjectedEvent {

		@Override
		public void schedule(Simulation simulation) {
			simulation.events().schedule(this.atMillis, simulation::joinNewEngine);
		}

	}

	/**
	 * A failure domain is partitioned from the others; callers still reach its routers.
	 *
	 * @param atMillis the start time in simulated milliseconds
	 * @param durationMillis the duration in milliseconds
	 * @param domainIndex the index of the failure domain
	 */
	record DomainPartition(int atMillis, int durationMillis, int domainIndex) implements InjectedEvent {

		@Override
		public void schedule(Simulation simulation) {
			simulation.events().schedule(this.atMillis, () -> simulation.setPartitioned(this.domainIndex, true));
			simulation.events()
				.schedule(this.atMillis + this.durationMillis,
						() -> simulation.setPartitioned(this.domainIndex, false));
		}

	}

}
