package org.mustardlane.core.model.catalogue;

/**
 * A catalogue change that an operator publishes.
 *
 * @param changeId identifier of the change, the same in every retry
 * @param author author of the change
 * @param yaml the change as YAML text
 */
public record CatalogueChange(String changeId, String author, String yaml) {

}
