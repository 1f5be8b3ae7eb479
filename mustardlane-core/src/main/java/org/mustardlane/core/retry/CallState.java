package org.mustardlane.core.retry;

import org.mustardlane.core.route.RequestSemantics;

/**
 * The attempts of a call so far.
 *
 * @param semantics whether the call may be executed more than once
 * @param runs number of attempts that may have been executed by a target
 * @param maxRuns maximum number of attempts that may be executed by a target
 * @param sends number of attempts, including those that were certainly not executed
 */
public record CallState(RequestSemantics semantics, int runs, int maxRuns, int sends) {

}
