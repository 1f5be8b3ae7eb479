/**
 * The router daemon, which connects the node to callers, targets, other routers and the
 * platform.
 */
@NullMarked
package org.mustardlane.router;

import org.jspecify.annotations.NullMarked;
