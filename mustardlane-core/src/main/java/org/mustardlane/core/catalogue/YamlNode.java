package org.mustardlane.core.catalogue;

import java.util.List;
import java.util.Map;

/**
 * A node of a YAML document with the place where it begins.
 */
sealed interface YamlNode permits YamlNode.Scalar, YamlNode.Mapping, YamlNode.Sequence {

	/**
	 * Returns where the node begins.
	 * @return the place
	 */
	Place place();

	/**
	 * Returns the word for this kind of node.
	 * @return the word
	 */
	String label();

	/**
	 * A place in a text.
	 *
	 * @param line line from 1, 0 where unknown
	 * @param column column from 1, 0 where unknown
	 */
	record Place(int line, int column) {

	}

	/**
	 * What the text of a scalar looks like.
	 */
	enum ScalarKind {

		/** Any text. */
		TEXT,

		/** A whole number. */
		INTEGER,

		/** {@code true} or {@code false}. */
		BOOLEAN,

		/** Nothing. */
		NULL

	}

	/**
	 * A single value.
	 *
	 * @param place where it begins
	 * @param kind what its text looks like
	 * @param text the text as written
	 */
	record Scalar(Place place, ScalarKind kind, String text) implements YamlNode {

		@Override
		public String label() {
			return (this.kind == ScalarKind.NULL) ? "nothing" : "a single value";
		}

	}

	/**
	 * Fields by name.
	 *
	 * @param place where it begins
	 * @param fields the fields, in the order of the document
	 */
	record Mapping(Place place, Map<String, Field> fields) implements YamlNode {

		@Override
		public String label() {
			return "a mapping";
		}

	}

	/**
	 * A field of a mapping.
	 *
	 * @param namePlace where its name begins
	 * @param value its value
	 */
	record Field(Place namePlace, YamlNode value) {

	}

	/**
	 * A list of nodes.
	 *
	 * @param place where it begins
	 * @param items the nodes
	 */
	record Sequence(Place place, List<YamlNode> items) implements YamlNode {

		@Override
		public String label() {
			return "a list";
		}

	}

}
