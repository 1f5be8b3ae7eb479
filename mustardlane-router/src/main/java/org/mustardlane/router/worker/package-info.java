/**
 * Worker threads that pass events to the node and execute the resulting actions.
 */
@NullMarked
package org.mustardlane.router.worker;

import org.jspecify.annotations.NullMarked;
