package org.mustardlane.core.model.catalogue;

/**
 * Priority class of an entry. Earlier constants have higher priority.
 */
public enum ServiceClass {

	/**
	 * Work that must not wait: triage, dispatch, lot releases.
	 */
	URGENT,

	/**
	 * Work that a person waits for: questions, chats, status checks.
	 */
	INTERACTIVE,

	/**
	 * Long work that may wait and may be interrupted: season summaries, digests.
	 */
	BULK

}
