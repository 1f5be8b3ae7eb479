/**
 * Routes, targets and other routers known to the daemon, read from the platform's log and
 * from peers.
 */
@NullMarked
package org.mustardlane.gateway.knowledge;

import org.jspecify.annotations.NullMarked;
