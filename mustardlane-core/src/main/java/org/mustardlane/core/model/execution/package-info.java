/**
 * The life of one request on the router that received it.
 */
@NullMarked
package org.mustardlane.core.model.execution;

import org.jspecify.annotations.NullMarked;
