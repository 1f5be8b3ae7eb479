package org.mustardlane.core.directory;

import java.util.Optional;

import org.mustardlane.core.model.common.TargetId;

/**
 * A record of the platform log about one target.
 *
 * @param id name of the target
 * @param position position in the log
 * @param entry the entry of the target, empty if the record removes the target or cannot
 * be decoded
 */
public record DirectoryRecord(TargetId id, LogPosition position, Optional<TargetEntry> entry) {

}
