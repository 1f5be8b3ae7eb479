package org.mustardlane.core.model.catalogue;

/**
 * A problem in an input document, with its position.
 *
 * @param path path within the document, such as entries[2].serviceClass
 * @param line line number starting at 1, 0 if unknown
 * @param column column number starting at 1, 0 if unknown
 * @param message description of the problem
 */
public record Finding(String path, int line, int column, String message) {

}
