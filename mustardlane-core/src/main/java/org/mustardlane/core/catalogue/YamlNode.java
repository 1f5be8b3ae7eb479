package org.mustardlane.core.catalogue;

import java.util.List;
import java.util.Map;

/**
 * A node of a YAML document with its start position.
 */
sealed interface YamlNode permits YamlNode.Scalar, YamlNode.Mapping, YamlNode.Sequence {

	/**
	 * Returns the start position of the node.
	 * @return the position
	 */
	Position position();

	/**
	 * Returns a noun phrase for this kind of node, for messages such as "must be a list,
	 * not a mapping".
	 * @return the noun phrase
	 */
	String label();

	/**
	 * A position in a text.
	 *
	 * @param line line number from 1, or 0 if unknown
	 * @param column column number from 1, or 0 if unknown
	 */
	record Position(int line, int column) {

	}

	/**
	 * The type of a scalar, which its notation determines.
	 */
	enum ScalarKind {

		/** Text. */
		TEXT,

		/** An integer. */
		INTEGER,

		/** {@code true} or {@code false}. */
		BOOLEAN,

		/** {@code null} or no value. */
		NULL

	}

	/**
	 * A scalar value.
	 *
	 * @param position start position
	 * @param kind type of the value
	 * @param text the value as written in the document
	 */
	record Scalar(Position position, ScalarKind kind, String text) implements YamlNode {

		@Override
		public String label() {
			return (this.kind == ScalarKind.NULL) ? "nothing" : "a single value";
		}

	}

	/**
	 * A mapping of names to fields.
	 *
	 * @param position start position
	 * @param fields the fields by name, in the order of the document
	 */
	record Mapping(Position position, Map<String, Field> fields) implements YamlNode {

		@Override
		public String label() {
			return "a mapping";
		}

	}

	/**
	 * A field of a mapping.
	 *
	 * @param namePosition start position of the name
	 * @param value value of the field
	 */
	record Field(Position namePosition, YamlNode value) {

	}

	/**
	 * A list of nodes.
	 *
	 * @param position start position
	 * @param items the nodes of the list
	 */
	record Sequence(Position position, List<YamlNode> items) implements YamlNode {

		@Override
		public String label() {
			return "a list";
		}

	}

}
