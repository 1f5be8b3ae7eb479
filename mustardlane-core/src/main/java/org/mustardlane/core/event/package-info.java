/**
 * Events and actions: the input and output of the event handlers.
 */
@NullMarked
package org.mustardlane.core.event;

import org.jspecify.annotations.NullMarked;
