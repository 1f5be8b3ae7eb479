package org.mustardlane.core.model.execution;

/**
 * How an attempt begins.
 */
public enum AttemptKind {

	/**
	 * The request is sent from its start.
	 */
	FRESH,

	/**
	 * The generation of an earlier attempt at the same engine is read on from an offset.
	 */
	RESUME,

	/**
	 * The request and the bytes already delivered are sent to another engine.
	 */
	CONTINUE

}
