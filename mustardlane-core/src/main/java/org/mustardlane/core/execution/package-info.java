/**
 * The life of one request on the router that received it.
 */
@NullMarked
package org.mustardlane.core.execution;

import org.jspecify.annotations.NullMarked;
