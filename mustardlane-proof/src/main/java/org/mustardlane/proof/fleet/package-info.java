/**
 * Starts, stops and disturbs the processes of a fleet.
 */
@NullMarked
package org.mustardlane.proof.fleet;

import org.jspecify.annotations.NullMarked;
