package org.mustardlane.core.event;

/**
 * No request is in flight any more; the process may end.
 */
public record DrainFinished() implements NodeAction {

}
