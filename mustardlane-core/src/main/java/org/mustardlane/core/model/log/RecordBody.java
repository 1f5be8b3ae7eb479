package org.mustardlane.core.model.log;

/**
 * A record that is to be appended.
 *
 * @param type what the body holds
 * @param body the content, in the format of the type
 */
public record RecordBody(String type, byte[] body) {

}
