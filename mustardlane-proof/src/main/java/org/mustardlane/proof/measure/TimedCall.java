package org.mustardlane.proof.measure;

import org.mustardlane.proof.caller.CallRequest;

/**
 * A call of a trace with its scheduled time.
 *
 * @param atMillis the send time in milliseconds after the start of the trace
 * @param group the group under which the result is evaluated
 * @param request the request to send
 * @param tokens the number of tokens that the request asks for
 * @param routerFraction a random number from 0 (inclusive) to 1 (exclusive) that selects
 * the router
 * @param returningBytes number of prompt bytes that earlier turns of the same chat have
 * already sent
 */
record TimedCall(long atMillis, String group, CallRequest request, int tokens, double routerFraction,
		int returningBytes) {

}
