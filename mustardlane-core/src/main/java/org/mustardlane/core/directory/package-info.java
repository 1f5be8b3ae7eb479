/**
 * Which targets exist and which of them may be given new work.
 */
@NullMarked
package org.mustardlane.core.directory;

import org.jspecify.annotations.NullMarked;
