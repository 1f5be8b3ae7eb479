package org.mustardlane.core.directory;

import java.util.Optional;

import org.mustardlane.core.model.common.TargetId;

/**
 * A record about one target.
 *
 * @param id name of the target
 * @param offset position in the log; a higher one is newer
 * @param entry what the target says, empty where the record ends the target or can not be
 * read
 */
public record DirectoryRecord(TargetId id, long offset, Optional<TargetEntry> entry) {

}
