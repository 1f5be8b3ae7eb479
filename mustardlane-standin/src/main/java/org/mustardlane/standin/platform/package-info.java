/**
 * The fake of the platform: streams of records and the list of VMs.
 */
@NullMarked
package org.mustardlane.standin.platform;

import org.jspecify.annotations.NullMarked;
