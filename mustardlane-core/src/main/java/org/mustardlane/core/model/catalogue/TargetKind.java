package org.mustardlane.core.model.catalogue;

/**
 * Kind of a target.
 */
public enum TargetKind {

	/**
	 * A model engine that streams tokens and caches prompt prefixes.
	 */
	ENGINE,

	/**
	 * A plain service that sends one response to each call.
	 */
	SERVICE

}
