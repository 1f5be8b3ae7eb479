/**
 * The command-line tool for operators.
 */
@NullMarked
package org.mustardlane.cli;

import org.jspecify.annotations.NullMarked;
