package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.CatalogueChange;

/**
 * An operator has requested that a catalogue change be published.
 *
 * @param change the change
 * @param deadlineMillis deadline of the operator for the result
 */
public record PublishRequested(CatalogueChange change, long deadlineMillis) implements NodeEvent {

}
