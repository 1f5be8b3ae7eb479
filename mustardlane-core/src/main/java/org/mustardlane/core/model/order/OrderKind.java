package org.mustardlane.core.model.order;

/**
 * What an engine is told. Each kind names the desired state, so that an order that
 * arrives twice has the effect of one.
 */
public enum OrderKind {

	/**
	 * Have the model of this name loaded.
	 */
	LOAD_MODEL(true, false),
	/**
	 * Have the adapter of this name loaded.
	 */
	LOAD_ADAPTER(true, false),
	/**
	 * Run the model in this version.
	 */
	SET_VERSION(true, true),
	/**
	 * Take this role.
	 */
	SET_ROLE(false, true);

	private final boolean readsWeights;

	private final boolean interruptsService;

	OrderKind(boolean readsWeights, boolean interruptsService) {
		this.readsWeights = readsWeights;
		this.interruptsService = interruptsService;
	}

	/**
	 * Returns whether the engine reads from the weight store.
	 * @return whether the rate limit of the store applies
	 */
	public boolean readsWeights() {
		return this.readsWeights;
	}

	/**
	 * Returns whether the engine serves nothing while it carries the order out.
	 * @return whether the rest of the pool must carry the load
	 */
	public boolean interruptsService() {
		return this.interruptsService;
	}

}
