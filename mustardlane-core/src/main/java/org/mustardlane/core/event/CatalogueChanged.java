package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.CatalogueSnapshot;

/**
 * A newer catalogue has become effective on this router. The catalogue handler raises
 * this event.
 *
 * @param snapshot the effective catalogue
 */
public record CatalogueChanged(CatalogueSnapshot snapshot) implements NodeEvent {

}
