package org.mustardlane.proof.deployment;

/**
 * One call at one engine.
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
	 * Sets how much of the prompt is to be read.
	 * @param tokens the number of tokens
	 */
	void admit(double tokens) {
		this.unreadTokens = tokens;
	}

	boolean isRead() {
		return this.unreadTokens <= 0;
	}

	/**
	 * Reads on.
	 * @param tokens how many tokens may be read
	 * @return how many were read
	 */
	double read(double tokens) {
		double taken = Math.min(tokens, this.unreadTokens);
		this.unreadTokens -= taken;
		return taken;
	}

	/**
	 * Generates a token.
	 * @return whether it was the last one
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
	 * Is told what becomes of a run.
	 */
	interface RunListener {

		/**
		 * The first token was generated.
		 */
		void begun();

		/**
		 * All tokens were generated.
		 */
		void ended();

		/**
		 * The engine has crashed.
		 */
		void broken();

	}

}
