/**
 * Router daemon that forwards calls to pools of targets, chosen by host and path.
 */
@NullMarked
package org.mustardlane.gateway;

import org.jspecify.annotations.NullMarked;
