package org.mustardlane.proof.measure;

import org.mustardlane.proof.caller.CallRequest;

/**
 * A call of a trace.
 *
 * @param atMillis when it is sent, from the start of the trace
 * @param group what it belongs to in the evaluation
 * @param request the request
 * @param tokens how many tokens it asks for
 * @param pick a number from 0 to 1 that chooses the router
 * @param returningBytes how much of its prompt was sent before in the same chat
 */
record TimedCall(long atMillis, String group, CallRequest request, int tokens, double pick, int returningBytes) {

}
