/**
 * Small fakes of the platform, of model engines and of plain services.
 */
@NullMarked
package org.mustardlane.standin;

import org.jspecify.annotations.NullMarked;
