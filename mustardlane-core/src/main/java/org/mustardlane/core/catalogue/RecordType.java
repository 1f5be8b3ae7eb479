package org.mustardlane.core.catalogue;

/**
 * The types of the records in the catalogue's stream, with their versions.
 */
public final class RecordType {

	/**
	 * A change, as JSON.
	 */
	public static final String CHANGE = "catalogue-change.v1";

	/**
	 * The whole state before an offset, as compressed JSON.
	 */
	public static final String CHECKPOINT = "catalogue-checkpoint.v1";

	/**
	 * Stands for a checkpoint of the log in a relay between routers, without its content.
	 */
	public static final String CHECKPOINT_MARK = "catalogue-checkpoint-mark.v1";

	private RecordType() {
	}

}
