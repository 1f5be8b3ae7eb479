package org.mustardlane.core.catalogue;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.model.catalogue.Finding;

/**
 * The result of parsing the YAML of a change.
 *
 * @param delta the change, or empty if there are findings
 * @param origins origin of each item in the document
 * @param findings the errors in the document, sorted by position
 */
public record ParsedChange(Optional<CatalogueDelta> delta, Map<ItemKey, Origin> origins, List<Finding> findings) {

	/**
	 * Copies the collections to make the record immutable.
	 */
	public ParsedChange {
		origins = Map.copyOf(origins);
		findings = List.copyOf(findings);
	}

	/**
	 * Converts a violation into a finding. The finding points to the violating item if
	 * the change holds it, else to the conflicting item, else to the start of the
	 * document.
	 * @param violation a violation of the reference rules
	 * @return the finding
	 */
	Finding toFinding(ReferenceRules.Violation violation) {
		Origin origin = this.origins.get(violation.item());
		if (origin != null) {
			return origin.findingAt(violation.field(), violation.message());
		}
		String message = violation.item() + ": " + violation.message();
		Origin conflictingOrigin = this.origins.get(violation.conflictingItem());
		if (conflictingOrigin != null) {
			return conflictingOrigin.findingAt(violation.conflictingItem().kind().nameField(), message);
		}
		return new Finding("", 1, 1, message);
	}

	/**
	 * The origin of an item in the document.
	 *
	 * @param path path of the item from the root of the document
	 * @param mapping YAML mapping with the fields of the item
	 */
	record Origin(String path, YamlNode.Mapping mapping) {

		private Finding findingAt(String field, String message) {
			YamlNode.Position position = positionOf(field);
			return new Finding(this.path + "." + field, position.line(), position.column(), message);
		}

		YamlNode.Position positionOf(String field) {
			YamlNode.Field yamlField = this.mapping.fields().get(field);
			return (yamlField != null) ? yamlField.value().position() : this.mapping.position();
		}

	}

}
