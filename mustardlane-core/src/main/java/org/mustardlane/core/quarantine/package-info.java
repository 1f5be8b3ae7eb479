/**
 * Finds parts of prompts that crash engines, and refuses the calls that contain them.
 */
@NullMarked
package org.mustardlane.core.quarantine;

import org.jspecify.annotations.NullMarked;
