package org.mustardlane.core.catalogue;

/**
 * Names an item of the catalogue.
 *
 * @param kind what it is
 * @param name its name, unique within the kind
 */
public record ItemKey(ItemKind kind, String name) {

	@Override
	public String toString() {
		return this.kind.label() + " " + this.name;
	}

}
