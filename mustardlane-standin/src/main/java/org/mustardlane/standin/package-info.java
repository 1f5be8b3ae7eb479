/**
 * Fakes of the platform, of model engines and of plain services, for tests and
 * measurements.
 */
@NullMarked
package org.mustardlane.standin;

import org.jspecify.annotations.NullMarked;
