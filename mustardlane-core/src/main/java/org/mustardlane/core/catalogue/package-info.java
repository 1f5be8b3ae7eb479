/**
 * What operators have published: entries, organisations and targets, folded from the log.
 */
@NullMarked
package org.mustardlane.core.catalogue;

import org.jspecify.annotations.NullMarked;
