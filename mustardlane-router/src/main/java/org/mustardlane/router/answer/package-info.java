/**
 * The answer of a request on its way from a target to its readers.
 */
@NullMarked
package org.mustardlane.router.answer;

import org.jspecify.annotations.NullMarked;
