package org.mustardlane.core.model.catalogue;

/**
 * Something wrong in an input, with its place.
 *
 * @param path where in the document, such as entries[2].serviceClass
 * @param line line from 1, 0 where unknown
 * @param column column from 1, 0 where unknown
 * @param message what is wrong, in words
 */
public record Finding(String path, int line, int column, String message) {

}
