package org.mustardlane.core.model.log;

/**
 * Type and content of a record to append.
 *
 * @param type type of the body
 * @param body content in the format of the type
 */
public record RecordBody(String type, byte[] body) {

}
