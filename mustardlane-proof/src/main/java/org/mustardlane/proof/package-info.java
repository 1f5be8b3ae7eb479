/**
 * Scenario tests, simulations and measurements, mostly against real processes.
 */
@NullMarked
package org.mustardlane.proof;

import org.jspecify.annotations.NullMarked;
