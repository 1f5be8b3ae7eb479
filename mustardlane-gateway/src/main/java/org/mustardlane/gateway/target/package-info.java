/**
 * HTTP towards targets.
 */
@NullMarked
package org.mustardlane.gateway.target;

import org.jspecify.annotations.NullMarked;
