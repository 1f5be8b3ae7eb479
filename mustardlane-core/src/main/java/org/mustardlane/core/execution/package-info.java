/**
 * Processing of caller requests on the router that received them.
 */
@NullMarked
package org.mustardlane.core.execution;

import org.jspecify.annotations.NullMarked;
