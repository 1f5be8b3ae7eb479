package org.mustardlane.core.directory;

import java.util.Optional;

import org.mustardlane.core.model.common.TargetId;

/**
 * A record of the platform log about one target.
 *
 * @param id name of the target
 * @param offset offset in the log, higher for newer records
 * @param entry the entry of the target, empty if the record removes the target or cannot
 * be decoded
 */
public record DirectoryRecord(TargetId id, long offset, Optional<TargetEntry> entry) {

}
