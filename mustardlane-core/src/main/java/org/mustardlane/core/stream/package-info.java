/**
 * Remembers at which software version each stream began, so that it goes on at no other.
 */
@NullMarked
package org.mustardlane.core.stream;

import org.jspecify.annotations.NullMarked;
