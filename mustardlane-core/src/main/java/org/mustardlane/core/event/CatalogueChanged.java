package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.CatalogueSnapshot;

/**
 * A newer catalogue is in force on this router; raised by the catalogue aggregate itself.
 *
 * @param snapshot the catalogue
 */
public record CatalogueChanged(CatalogueSnapshot snapshot) implements NodeEvent {

}
