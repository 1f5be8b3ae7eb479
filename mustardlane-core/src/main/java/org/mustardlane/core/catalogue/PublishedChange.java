package org.mustardlane.core.catalogue;

/**
 * The content of a record that holds a catalogue change.
 *
 * @param changeId names the change; the same in every retry
 * @param author who publishes it
 * @param contentHash hash of the change as the author wrote it
 * @param delta what changes
 */
public record PublishedChange(String changeId, String author, long contentHash, CatalogueDelta delta) {

}
