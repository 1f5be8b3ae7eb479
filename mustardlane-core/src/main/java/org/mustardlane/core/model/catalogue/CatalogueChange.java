package org.mustardlane.core.model.catalogue;

/**
 * A change that an operator wants to make.
 *
 * @param changeId names the change; the same in every retry
 * @param author who publishes it
 * @param yaml the change as written
 */
public record CatalogueChange(String changeId, String author, String yaml) {

}
