/**
 * gRPC between routers.
 */
@NullMarked
package org.mustardlane.router.peer;

import org.jspecify.annotations.NullMarked;
