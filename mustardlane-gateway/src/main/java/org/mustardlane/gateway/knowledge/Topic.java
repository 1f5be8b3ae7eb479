package org.mustardlane.gateway.knowledge;

/**
 * Topics of the platform's log; the log retains at least the newest record of each key.
 */
public enum Topic {

	/**
	 * Routes, published by operators.
	 */
	ROUTES,

	/**
	 * Targets, each published by the target itself.
	 */
	TARGETS,

	/**
	 * Addresses at which routers listen for each other.
	 */
	ROUTERS,

	/**
	 * Quarantines of parts of prompts, published by routers.
	 */
	QUARANTINES,

	/**
	 * Software versions that serve, published by routers.
	 */
	POOL_VERSIONS,

	/**
	 * Software versions at which streams began, published by routers. Its records have no
	 * keys and expire.
	 */
	STREAM_ORIGINS

}
