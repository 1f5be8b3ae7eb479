/**
 * The worker pool that hands events to the node and carries out its actions.
 */
@NullMarked
package org.mustardlane.router.worker;

import org.jspecify.annotations.NullMarked;
