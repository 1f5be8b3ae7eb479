package org.mustardlane.core.model.order;

/**
 * The kind of an order to an engine. Each kind describes a desired state, so orders are
 * idempotent.
 */
public enum OrderKind {

	/**
	 * Loads the model with the given name.
	 */
	LOAD_MODEL(true, false),
	/**
	 * Loads the adapter with the given name.
	 */
	LOAD_ADAPTER(true, false),
	/**
	 * Switches the model to the given version.
	 */
	SET_VERSION(true, true),
	/**
	 * Switches the engine to the given role.
	 */
	SET_ROLE(false, true);

	private final boolean readsWeights;

	private final boolean interruptsService;

	OrderKind(boolean readsWeights, boolean interruptsService) {
		this.readsWeights = readsWeights;
		this.interruptsService = interruptsService;
	}

	/**
	 * Tells whether the engine reads from the weight store.
	 * @return true if the rate limit of the weight store applies
	 */
	public boolean readsWeights() {
		return this.readsWeights;
	}

	/**
	 * Tells whether the engine serves no requests while it executes the order.
	 * @return true if the other targets of the pool must take over the load
	 */
	public boolean interruptsService() {
		return this.interruptsService;
	}

}
