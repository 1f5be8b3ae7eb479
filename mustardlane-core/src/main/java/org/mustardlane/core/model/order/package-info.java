/**
 * Orders to engines.
 */
@NullMarked
package org.mustardlane.core.model.order;

import org.jspecify.annotations.NullMarked;
