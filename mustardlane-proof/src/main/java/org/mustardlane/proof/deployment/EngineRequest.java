package org.mustardlane.proof.deployment;

/**
 * A call that is queued or running on a simulated engine.
 *
 * <p>
 * Not thread-safe.
 */
final class EngineRequest {

	private final SimulatedCall call;

	private final RequestListener listener;

	private double remainingPromptTokens;

	private int remainingOutputTokens;

	private boolean firstTokenGenerated;

	EngineRequest(SimulatedCall call, RequestListener listener) {
		this.call = call;
		this.listener = listener;
		this.remainingOutputTokens = call.type().outputTokens();
	}

	SimulatedCall call() {
		return this.call;
	}

	RequestListener listener() {
		return this.listener;
	}

	/**
	 * Sets the number of prompt tokens that have to be processed.
	 * @param tokens the number of uncached prompt tokens
	 */
	void setPromptTokens(double tokens) {
		this.remainingPromptTokens = tokens;
	}

	boolean isPromptProcessed() {
		return this.remainingPromptTokens <= 0;
	}

	/**
	 * Processes a part of the prompt.
	 * @param tokens the maximum number of tokens to process
	 * @return the number of processed tokens
	 */
	double processPrompt(double tokens) {
		double processedTokens = Math.min(tokens, this.remainingPromptTokens);
		this.remainingPromptTokens -= processedTokens;
		return processedTokens;
	}

	/**
	 * Generates one token.
	 * @return whether it was the last token
	 */
	boolean generateToken() {
		if (!this.firstTokenGenerated) {
			this.firstTokenGenerated = true;
			this.listener.onFirstToken();
		}
		this.remainingOutputTokens--;
		return this.remainingOutputTokens <= 0;
	}

	/**
	 * Receives the progress of a request.
	 */
	interface RequestListener {

		/**
		 * Called after the first token was generated.
		 */
		void onFirstToken();

		/**
		 * Called after the last token was generated.
		 */
		void onCompletion();

		/**
		 * Called if the engine has crashed.
		 */
		void onCrash();

	}

}
