/**
 * Orders to engines, issued under a lease.
 */
@NullMarked
package org.mustardlane.core.order;

import org.jspecify.annotations.NullMarked;
