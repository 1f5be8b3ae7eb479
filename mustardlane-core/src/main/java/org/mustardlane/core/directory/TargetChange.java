package org.mustardlane.core.directory;

import java.util.Optional;

import org.mustardlane.core.model.common.TargetId;

/**
 * A target that has come, changed its state or gone.
 *
 * @param id the target
 * @param before its state before, empty where it was not known
 * @param after its state now, empty where it is gone
 */
public record TargetChange(TargetId id, Optional<TargetState> before, Optional<TargetState> after) {

}
