package org.mustardlane.core.retry;

import org.mustardlane.core.route.RequestSemantics;

/**
 * How far a call has come.
 *
 * @param semantics what may be done after a first attempt
 * @param runs attempts that may have run
 * @param maxRuns most attempts that may run
 * @param sends attempts that were made, whether they ran or not
 */
public record CallState(RequestSemantics semantics, int runs, int maxRuns, int sends) {

}
