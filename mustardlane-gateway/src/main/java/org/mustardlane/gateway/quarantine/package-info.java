/**
 * Keeps calls away from targets that they crash, on all routers alike.
 */
@NullMarked
package org.mustardlane.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
