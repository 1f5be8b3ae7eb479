/**
 * Keeps calls away from engines whose prompts crash them, on all routers alike.
 */
@NullMarked
package org.mustardlane.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
