/**
 * What operators have published: entries, organisations and targets, folded from the log.
 */
@NullMarked
package org.mustardlane.core.model.catalogue;

import org.jspecify.annotations.NullMarked;
