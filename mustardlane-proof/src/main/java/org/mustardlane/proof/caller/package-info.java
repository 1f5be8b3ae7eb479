/**
 * Sends requests to routers and checks the responses.
 */
@NullMarked
package org.mustardlane.proof.caller;

import org.jspecify.annotations.NullMarked;
