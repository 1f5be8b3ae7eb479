package org.mustardlane.core.message;

/**
 * How the owner of a shard answered.
 */
public enum GrantVerdict {

	/**
	 * The target may be used until the grant expires.
	 */
	GRANTED,

	/**
	 * The deadline can not be met or a limit is reached.
	 */
	REFUSED,

	/**
	 * Another shard has room.
	 */
	REDIRECTED,

	/**
	 * The asked router does not own the shard.
	 */
	NOT_OWNER

}
