/**
 * Calls routers and checks what arrives.
 */
@NullMarked
package org.mustardlane.proof.caller;

import org.jspecify.annotations.NullMarked;
