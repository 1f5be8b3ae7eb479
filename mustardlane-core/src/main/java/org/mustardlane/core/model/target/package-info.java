/**
 * Engines and plain services, their reports and their health.
 */
@NullMarked
package org.mustardlane.core.model.target;

import org.jspecify.annotations.NullMarked;
