package org.mustardlane.proof.deployment;

/**
 * A call that is queued or running on a simulated engine.
 *
 * <p>
 * Not thread-safe.
 */
final class ModelRun {

	private final ModelCall call;

	private final RunListener listener;

	private double unreadTokens;

	private int leftTokens;

	private boolean begun;

	ModelRun(ModelCall call, RunListener listener) {
		this.call = call;
		this.listener = listener;
		this.leftTokens = call.kind().outputTokens();
	}

	ModelCall call() {
		return this.call;
	}

	RunListener listener() {
		return this.listener;
	}

	/**
	 * Sets the number of prompt tokens that have to be processed.
	 * @param tokens the number of uncached prompt tokens
	 */
	void admit(double tokens) {
		this.unreadTokens = tokens;
	}

	boolean isRead() {
		return this.unreadTokens <= 0;
	}

	/**
	 * Processes a part of the prompt.
	 * @param tokens the maximum number of tokens to process
	 * @return the number of processed tokens
	 */
	double read(double tokens) {
		double taken = Math.min(tokens, this.unreadTokens);
		this.unreadTokens -= taken;
		return taken;
	}

	/**
	 * Generates one token.
	 * @return whether it was the last token
	 */
	boolean generate() {
		if (!this.begun) {
			this.begun = true;
			this.listener.begun();
		}
		this.leftTokens--;
		return this.leftTokens <= 0;
	}

	/**
	 * Receives the progress of a request.
	 */
	interface RunListener {

		/**
		 * Called after the first token was generated.
		 */
		void begun();

		/**
		 * Called after the last token was generated.
		 */
		void ended();

		/**
		 * Called if the engine has crashed.
		 */
		void broken();

	}

}
