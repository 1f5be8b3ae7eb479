/**
 * Chooses the router that takes over a call whose targets this router does not reach.
 */
@NullMarked
package org.mustardlane.core.relay;

import org.jspecify.annotations.NullMarked;
