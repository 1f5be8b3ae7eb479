/**
 * Gossip of routes, targets and loads between routers over gRPC.
 */
@NullMarked
package org.mustardlane.gateway.peer;

import org.jspecify.annotations.NullMarked;
