/**
 * HTTP client for the log and the VM list of the platform.
 */
@NullMarked
package org.mustardlane.router.platform;

import org.jspecify.annotations.NullMarked;
