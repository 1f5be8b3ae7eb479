package org.mustardlane.core.model.catalogue;

/**
 * What kind of program a target is.
 */
public enum TargetKind {

	/**
	 * A model engine that streams tokens and caches prompt prefixes.
	 */
	ENGINE,

	/**
	 * A plain service that answers a call once.
	 */
	SERVICE

}
