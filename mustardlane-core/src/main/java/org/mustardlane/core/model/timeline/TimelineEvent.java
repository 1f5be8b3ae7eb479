package org.mustardlane.core.model.timeline;

/**
 * Something that a process did or saw, with its place in the causal order.
 *
 * @param hybridTime hybrid logical clock: milliseconds in the upper 48 bits, a counter in
 * the lower 16
 * @param vm the VM or other process
 * @param domain its failure domain
 * @param kind what happened, in kebab-case
 * @param subject what it happened to: a request, a target, a VM
 * @param detail further facts in words
 */
public record TimelineEvent(long hybridTime, String vm, String domain, String kind, String subject, String detail) {

}
