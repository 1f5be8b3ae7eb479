package org.mustardlane.core.model.execution;

/**
 * How an attempt starts.
 */
public enum AttemptKind {

	/**
	 * The request is sent without any earlier output.
	 */
	FRESH,

	/**
	 * The generation of an earlier attempt at the same engine is resumed at an offset.
	 */
	RESUME,

	/**
	 * The request and the bytes already delivered are sent to another engine.
	 */
	CONTINUE

}
