package org.mustardlane.core.catalogue;

/**
 * The kinds of catalogue items.
 */
public enum ItemKind {

	/**
	 * An organisation that may send requests.
	 */
	ORGANISATION("organisation", "organisations", "id"),

	/**
	 * An engine or a replica of a plain service.
	 */
	TARGET("target", "targets", "id"),

	/**
	 * An entry: a kind of work that callers may request by name.
	 */
	ENTRY("entry", "entries", "name");

	private final String label;

	private final String section;

	private final String nameField;

	ItemKind(String label, String section, String nameField) {
		this.label = label;
		this.section = section;
		this.nameField = nameField;
	}

	/**
	 * Returns the singular noun for items of this kind, as used in messages.
	 * @return the noun, in lower case
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the name of the YAML section of a change that holds items of this kind.
	 * @return the name of the section
	 */
	public String section() {
		return this.section;
	}

	/**
	 * Returns the name of the YAML field that identifies an item of this kind.
	 * @return the name of the field
	 */
	public String nameField() {
		return this.nameField;
	}

}
