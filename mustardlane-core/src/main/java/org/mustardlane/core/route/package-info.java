/**
 * Maps requests to pools, organisations and limits.
 */
@NullMarked
package org.mustardlane.core.route;

import org.jspecify.annotations.NullMarked;
