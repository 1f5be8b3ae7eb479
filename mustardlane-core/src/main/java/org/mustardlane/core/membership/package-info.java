/**
 * Which routers live, and what follows from it.
 */
@NullMarked
package org.mustardlane.core.membership;

import org.jspecify.annotations.NullMarked;
