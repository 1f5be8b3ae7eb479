/**
 * The daemon that routes calls by host and path to pools of targets.
 */
@NullMarked
package org.mustardlane.gateway;

import org.jspecify.annotations.NullMarked;
