package org.mustardlane.core.message;

/**
 * Decision of a shard owner on a grant request.
 */
public enum GrantVerdict {

	/**
	 * The target may be used until the grant expires.
	 */
	GRANTED,

	/**
	 * The deadline cannot be met or a limit is reached.
	 */
	REFUSED,

	/**
	 * Another shard has free capacity.
	 */
	REDIRECTED,

	/**
	 * The receiving router does not own the shard.
	 */
	NOT_OWNER

}
