/**
 * The router daemon: joins callers, targets, peers and the platform to the node.
 */
@NullMarked
package org.mustardlane.router;

import org.jspecify.annotations.NullMarked;
