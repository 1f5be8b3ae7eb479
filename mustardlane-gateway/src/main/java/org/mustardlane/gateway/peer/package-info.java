/**
 * Exchange of knowledge between routers over gRPC.
 */
@NullMarked
package org.mustardlane.gateway.peer;

import org.jspecify.annotations.NullMarked;
