/**
 * Calls that one router passes on to another one, which reaches their targets.
 */
@NullMarked
package org.mustardlane.gateway.relay;

import org.jspecify.annotations.NullMarked;
