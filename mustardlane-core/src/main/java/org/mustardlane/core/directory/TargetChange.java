package org.mustardlane.core.directory;

import java.util.Optional;

import org.mustardlane.core.model.common.TargetId;

/**
 * A change of a target: it was added, it was removed, or its state changed.
 *
 * @param id the target
 * @param before the previous state, empty if the target was unknown
 * @param after the new state, empty if the target was removed
 * @param position position of the record that caused the change
 */
public record TargetChange(TargetId id, Optional<TargetState> before, Optional<TargetState> after,
		LogPosition position) {

}
