/**
 * What the daemon knows of routes, targets and other routers, and how it learns of it.
 */
@NullMarked
package org.mustardlane.gateway.knowledge;

import org.jspecify.annotations.NullMarked;
