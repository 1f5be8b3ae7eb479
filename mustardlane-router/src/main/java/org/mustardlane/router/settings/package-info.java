/**
 * Settings of the router daemon from command-line flags and environment variables.
 */
@NullMarked
package org.mustardlane.router.settings;

import org.jspecify.annotations.NullMarked;
