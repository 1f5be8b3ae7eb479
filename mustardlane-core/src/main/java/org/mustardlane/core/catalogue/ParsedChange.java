package org.mustardlane.core.catalogue;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.model.catalogue.Finding;

/**
 * What was read from the YAML of a change.
 *
 * @param delta the change, or empty where it has findings
 * @param origins where each item stands in the document
 * @param findings what is wrong, in the order of the document
 */
public record ParsedChange(Optional<CatalogueDelta> delta, Map<ItemKey, Origin> origins, List<Finding> findings) {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public ParsedChange {
		origins = Map.copyOf(origins);
		findings = List.copyOf(findings);
	}

	/**
	 * Returns a finding about an item, at the item's place where the change holds it.
	 * @param violation what is wrong with which item
	 * @return the finding
	 */
	Finding locate(ReferenceRules.Violation violation) {
		Origin origin = this.origins.get(violation.item());
		if (origin == null) {
			return new Finding("", 1, 1, violation.item() + ": " + violation.message());
		}
		YamlNode.Place place = origin.placeOf(violation.field());
		return new Finding(origin.path() + "." + violation.field(), place.line(), place.column(), violation.message());
	}

	/**
	 * Where an item stands in the document.
	 *
	 * @param path path of the item
	 * @param mapping its fields
	 */
	record Origin(String path, YamlNode.Mapping mapping) {

		YamlNode.Place placeOf(String field) {
			YamlNode.Field found = this.mapping.fields().get(field);
			return (found != null) ? found.value().place() : this.mapping.place();
		}

	}

}
