/**
 * Settings of the daemon in flags and environment variables.
 */
@NullMarked
package org.mustardlane.router.settings;

import org.jspecify.annotations.NullMarked;
