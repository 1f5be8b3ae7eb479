package org.mustardlane.core.model.timeline;

/**
 * An event of a process, with its position in the causal order.
 *
 * @param hybridTime timestamp of the hybrid logical clock: milliseconds in the upper 48
 * bits, a counter in the lower 16
 * @param vm identifier of the VM or other process
 * @param domain failure domain of the VM or process
 * @param kind kind of the event, in kebab case
 * @param subject identifier of the affected object, such as a request, a target or a VM
 * @param detail further description
 */
public record TimelineEvent(long hybridTime, String vm, String domain, String kind, String subject, String detail) {

}
