package org.mustardlane.gateway.knowledge;

/**
 * Parts of the platform's log that hold the newest record of each key.
 */
public enum Topic {

	/**
	 * What operators publish.
	 */
	ROUTES,

	/**
	 * What targets say of themselves.
	 */
	TARGETS,

	/**
	 * Where routers listen for each other.
	 */
	ROUTERS

}
