/**
 * The catalogue that operators publish: entries, organisations and targets, built from
 * the log.
 */
@NullMarked
package org.mustardlane.core.model.catalogue;

import org.jspecify.annotations.NullMarked;
