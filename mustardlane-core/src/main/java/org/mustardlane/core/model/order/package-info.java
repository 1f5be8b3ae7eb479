/**
 * Orders to engines and their results.
 */
@NullMarked
package org.mustardlane.core.model.order;

import org.jspecify.annotations.NullMarked;
