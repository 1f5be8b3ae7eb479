package org.mustardlane.core.event;

import org.mustardlane.core.model.membership.VmList;

/**
 * The VM list has been read from the platform.
 *
 * @param vmList the VM list
 */
public record VmListRead(VmList vmList) implements NodeEvent {

}
