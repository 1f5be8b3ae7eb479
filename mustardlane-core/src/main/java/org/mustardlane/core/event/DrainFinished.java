package org.mustardlane.core.event;

/**
 * Reports that draining has finished: no request has been in flight for a while or the
 * drain deadline has passed, so the process may exit.
 */
public record DrainFinished() implements NodeAction {

}
