/**
 * Fake of the platform: append-only streams of records and the list of VMs.
 */
@NullMarked
package org.mustardlane.standin.platform;

import org.jspecify.annotations.NullMarked;
