/**
 * What a router sees and what it is to do: the input and output of the aggregates.
 */
@NullMarked
package org.mustardlane.core.event;

import org.jspecify.annotations.NullMarked;
