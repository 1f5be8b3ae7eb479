/**
 * Fakes of targets: model engines and plain services.
 */
@NullMarked
package org.mustardlane.standin.target;

import org.jspecify.annotations.NullMarked;
