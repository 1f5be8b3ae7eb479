package org.mustardlane.proof.deployment;

/**
 * What callers and engines of one run of the model saw.
 *
 * @param calls calls that arrived
 * @param onTimeShare share of them whose first token was on time
 * @param refusedShare share of them that no engine took
 * @param brokenShare share of them that broke off with their engine
 * @param firstTokenP50Millis median time to the first token
 * @param firstTokenP99Millis its 99th percentile
 * @param worstSecondsShare the lowest share on time in any two seconds with 20 calls or
 * more
 * @param prefixTokensRead tokens of shared prefixes that engines read
 * @param overBoundShare share of the sends that reached an engine above twice the mean
 * load and three requests
 */
public record ModelResult(int calls, double onTimeShare, double refusedShare, double brokenShare,
		double firstTokenP50Millis, double firstTokenP99Millis, double worstSecondsShare, long prefixTokensRead,
		double overBoundShare) {

}
