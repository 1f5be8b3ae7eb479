package org.mustardlane.proof.deployment;

/**
 * Something that goes wrong, or is done, while calls arrive.
 */
public interface Trouble {

	/**
	 * Plans it.
	 * @param deployment where it happens
	 */
	void plan(Deployment deployment);

	/**
	 * An engine crashes and comes back empty.
	 *
	 * @param atMillis when
	 * @param forMillis how long it is down
	 * @param engine which engine, counted from 0
	 */
	record EngineCrash(int atMillis, int forMillis, int engine) implements Trouble {

		@Override
		public void plan(Deployment deployment) {
			deployment.events().after(this.atMillis, () -> deployment.crash(this.engine));
			deployment.events().after(this.atMillis + this.forMillis, () -> deployment.restart(this.engine));
		}

	}

	/**
	 * An empty engine joins.
	 *
	 * @param atMillis when
	 */
	record EngineJoin(int atMillis) implements Trouble {

		@Override
		public void plan(Deployment deployment) {
			deployment.events().after(this.atMillis, deployment::join);
		}

	}

	/**
	 * A failure domain is cut off from the others; callers still reach its routers.
	 *
	 * @param atMillis when
	 * @param forMillis how long
	 * @param domain which failure domain, counted from 0
	 */
	record DomainCut(int atMillis, int forMillis, int domain) implements Trouble {

		@Override
		public void plan(Deployment deployment) {
			deployment.events().after(this.atMillis, () -> deployment.cut(this.domain, true));
			deployment.events().after(this.atMillis + this.forMillis, () -> deployment.cut(this.domain, false));
		}

	}

}
