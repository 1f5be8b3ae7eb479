package org.mustardlane.core.catalogue;

/**
 * What an item of the catalogue is.
 */
public enum ItemKind {

	/**
	 * An organisation that may call.
	 */
	ORGANISATION("organisation", "organisations", "id"),

	/**
	 * An engine or a replica of a plain service.
	 */
	TARGET("target", "targets", "id"),

	/**
	 * A kind of work that callers may ask for.
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
	 * Returns the word for one item of this kind.
	 * @return the word, in lower case
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the section of a change that holds items of this kind.
	 * @return the name of the section
	 */
	public String section() {
		return this.section;
	}

	/**
	 * Returns the field that names an item of this kind.
	 * @return the name of the field
	 */
	public String nameField() {
		return this.nameField;
	}

}
