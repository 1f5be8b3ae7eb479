package org.mustardlane.core.catalogue;

/**
 * The content of a record that holds a catalogue change.
 *
 * @param changeId id of the change, the same in every retry
 * @param author name of the author
 * @param contentHash hash of the YAML that the author published
 * @param delta the items that the change adds, replaces or removes
 */
public record PublishedChange(String changeId, String author, long contentHash, CatalogueDelta delta) {

}
