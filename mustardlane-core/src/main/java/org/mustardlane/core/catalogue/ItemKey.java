package org.mustardlane.core.catalogue;

/**
 * Identifies an item of the catalogue.
 *
 * @param kind kind of the item
 * @param name name or id of the item, unique within its kind
 */
public record ItemKey(ItemKind kind, String name) {

	@Override
	public String toString() {
		return this.kind.label() + " " + this.name;
	}

}
