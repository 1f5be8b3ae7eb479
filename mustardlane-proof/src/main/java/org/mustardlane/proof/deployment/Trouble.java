package org.mustardlane.proof.deployment;

/**
 * An event injected into a running simulation.
 */
public interface Trouble {

	/**
	 * Schedules the event.
	 * @param deployment the simulation
	 */
	void plan(Deployment deployment);

	/**
	 * An engine crashes and restarts with an empty cache.
	 *
	 * @param atMillis the start time in simulated milliseconds
	 * @param forMillis the downtime in milliseconds
	 * @param engine the index of the engine
	 */
	record EngineCrash(int atMillis, int forMillis, int engine) implements Trouble {

		@Override
		public void plan(Deployment deployment) {
			deployment.events().after(this.atMillis, () -> deployment.crash(this.engine));
			deployment.events().after(this.atMillis + this.forMillis, () -> deployment.restart(this.engine));
		}

	}

	/**
	 * An engine with an empty cache joins.
	 *
	 * @param atMillis the start time in simulated milliseconds
	 */
	record EngineJoin(int atMillis) implements Trouble {

		@Override
		public void plan(Deployment deployment) {
			deployment.events().after(this.atMillis, deployment::join);
		}

	}

	/**
	 * A failure domain is partitioned from the others; callers still reach its routers.
	 *
	 * @param atMillis the start time in simulated milliseconds
	 * @param forMillis the duration in milliseconds
	 * @param domain the index of the failure domain
	 */
	record DomainCut(int atMillis, int forMillis, int domain) implements Trouble {

		@Override
		public void plan(Deployment deployment) {
			deployment.events().after(this.atMillis, () -> deployment.cut(this.domain, true));
			deployment.events().after(this.atMillis + this.forMillis, () -> deployment.cut(this.domain, false));
		}

	}

}
