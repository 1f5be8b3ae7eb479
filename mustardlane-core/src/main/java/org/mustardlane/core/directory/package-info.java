/**
 * Keeps track of which targets exist and which of them accept new requests.
 */
@NullMarked
package org.mustardlane.core.directory;

import org.jspecify.annotations.NullMarked;
