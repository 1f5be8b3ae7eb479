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
	 * Returns a finding about an item, where the change holds it or the item that it does
	 * not fit.
	 * @param violation what is wrong with which item
	 * @return the finding
	 */
	Finding locate(ReferenceRules.Violation violation) {
		Origin origin = this.origins.get(violation.item());
		if (origin != null) {
			return origin.finding(violation.field(), violation.message());
		}
		String message = violation.item() + ": " + violation.message();
		Origin other = this.origins.get(violation.other());
		if (other != null) {
			return other.finding(violation.other().kind().nameField(), message);
		}
		return new Finding("", 1, 1, message);
	}

	/**
	 * Where an item stands in the document.
	 *
	 * @param path path of the item
	 * @param mapping its fields
	 */
	record Origin(String path, YamlNode.Mapping mapping) {

		private Finding finding(String field, String message) {
			YamlNode.Place place = placeOf(field);
			return new Finding(this.path + "." + field, place.line(), place.column(), message);
		}

		YamlNode.Place placeOf(String field) {
			YamlNode.Field found = this.mapping.fields().get(field);
			return (found != null) ? found.value().place() : this.mapping.place();
		}

	}

}
