package org.mustardlane.proof.deployment;

/**
 * The measurements of one simulation run.
 *
 * @param calls number of calls
 * @param onTimeShare share of the calls whose first token was on time
 * @param refusedShare share of the calls that no engine accepted
 * @param failedShare share of the calls that failed because their engine crashed
 * @param firstTokenP50Millis median time to the first token in milliseconds
 * @param firstTokenP99Millis 99th percentile of the time to the first token in
 * milliseconds
 * @param worstWindowShare the lowest on-time share of all two-second windows with at
 * least 20 calls
 * @param processedPrefixTokens number of shared prefix tokens that engines had to process
 * @param overBoundShare share of the sends to an engine whose load exceeded twice the
 * mean load plus three requests
 */
public record SimulationResult(int calls, double onTimeShare, double refusedShare, double failedShare,
		double firstTokenP50Millis, double firstTokenP99Millis, double worstWindowShare, long processedPrefixTokens,
		double overBoundShare) {

}
