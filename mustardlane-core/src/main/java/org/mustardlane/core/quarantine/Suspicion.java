package org.mustardlane.core.quarantine;

import java.util.Set;

/**
 * A lost call with the features that may have crashed its target.
 *
 * @param call the call
 * @param crash the crash
 * @param suspects the features that no later response has cleared
 * @param othersStarted whether responses to other calls have started since
 */
record Suspicion(LostCall call, Crash crash, Set<CallFeature> suspects, boolean othersStarted) {

}
