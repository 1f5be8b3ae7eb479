package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.CatalogueChange;

/**
 * An operator wants a catalogue change published.
 *
 * @param change the change
 * @param deadlineMillis when the operator gives up
 */
public record PublishRequested(CatalogueChange change, long deadlineMillis) implements NodeEvent {

}
