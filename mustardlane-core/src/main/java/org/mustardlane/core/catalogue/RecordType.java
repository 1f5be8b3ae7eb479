package org.mustardlane.core.catalogue;

/**
 * The versioned types of the records in the catalogue stream.
 */
public final class RecordType {

	/**
	 * A change, encoded as JSON.
	 */
	public static final String CHANGE = "catalogue-change.v1";

	/**
	 * A checkpoint: the complete state before an offset, encoded as gzipped JSON.
	 */
	public static final String CHECKPOINT = "catalogue-checkpoint.v1";

	/**
	 * A placeholder without content, which replaces a checkpoint of the log in a relay
	 * between routers.
	 */
	public static final String CHECKPOINT_MARK = "catalogue-checkpoint-mark.v1";

	private RecordType() {
	}

}
