package org.mustardlane.core.catalogue;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.mustardlane.core.catalogue.YamlNode.Mapping;
import org.mustardlane.core.catalogue.YamlNode.Scalar;
import org.mustardlane.core.catalogue.YamlNode.ScalarKind;

/**
 * Reads the fields of one YAML mapping and collects findings for missing, malformed and
 * unknown fields.
 *
 * <p>
 * For a field that can not be read the reader returns a placeholder and is no longer
 * {@link #isValid()}. This way the findings of all fields are collected before the item
 * is discarded. Not thread-safe.
 */
final class FieldReader {

	private static final Pattern INTEGER = Pattern.compile("-?\\d{1,18}");

	private static final String PLACEHOLDER = "placeholder";

	private final ParsedChange.Origin origin;

	private final FindingCollector findings;

	private final Set<String> knownFields = new HashSet<>();

	private final Set<String> invalidFields = new HashSet<>();

	FieldReader(String path, Mapping mapping, FindingCollector findings) {
		this.origin = new ParsedChange.Origin(path, mapping);
		this.findings = findings;
	}

	boolean isValid() {
		return this.invalidFields.isEmpty();
	}

	boolean hasField(String field) {
		return this.origin.mapping().fields().containsKey(field);
	}

	boolean isValid(String field) {
		return !this.invalidFields.contains(field);
	}

	ParsedChange.Origin origin() {
		return this.origin;
	}

	String readText(String field) {
		return readScalar(field).map(Scalar::text).filter((text) -> checkNotEmpty(field, text)).orElse(PLACEHOLDER);
	}

	private boolean checkNotEmpty(String field, String text) {
		if (text.isEmpty()) {
			addFinding(field, "must not be empty");
		}
		return !text.isEmpty();
	}

	int readInteger(String field) {
		long value = readScalar(field).map((scalar) -> parseLong(field, scalar)).orElse(0L);
		if (value != (int) value) {
			addFinding(field, "is too large");
			return 0;
		}
		return (int) value;
	}

	long readRevision(String field) {
		this.knownFields.add(field);
		if (!this.origin.mapping().fields().containsKey(field)) {
			return 0;
		}
		long value = readScalar(field).map((scalar) -> parseLong(field, scalar)).orElse(0L);
		if (value < 0) {
			addFinding(field, "must not be negative");
		}
		return Math.max(0, value);
	}

	private long parseLong(String field, Scalar scalar) {
		if (scalar.kind() != ScalarKind.INTEGER || !INTEGER.matcher(scalar.text()).matches()) {
			addFinding(field, "must be a whole number");
			return 0;
		}
		return Long.parseLong(scalar.text());
	}

	boolean readBoolean(String field) {
		Optional<Scalar> scalar = readScalar(field);
		if (scalar.isPresent() && scalar.get().kind() != ScalarKind.BOOLEAN) {
			addFinding(field, "must be true or false");
		}
		return scalar.filter((present) -> "true".equalsIgnoreCase(present.text())).isPresent();
	}

	<E extends Enum<E>> E readEnum(String field, Class<E> type) {
		E[] constants = type.getEnumConstants();
		Optional<Scalar> scalar = readScalar(field);
		if (scalar.isEmpty()) {
			return constants[0];
		}
		String name = scalar.get().text().toUpperCase(Locale.ROOT);
		Optional<E> match = Arrays.stream(constants).filter((constant) -> constant.name().equals(name)).findFirst();
		if (match.isEmpty()) {
			addFinding(field,
					"must be one of " + Arrays.stream(constants).map(Enum::name).collect(Collectors.joining(", ")));
		}
		return match.orElse(constants[0]);
	}

	private Optional<Scalar> readScalar(String field) {
		this.knownFields.add(field);
		YamlNode.Field yamlField = this.origin.mapping().fields().get(field);
		if (yamlField == null) {
			addFinding(field, "is missing");
			return Optional.empty();
		}
		if (yamlField.value() instanceof Scalar scalar && scalar.kind() != ScalarKind.NULL) {
			return Optional.of(scalar);
		}
		addFinding(field, "must be a single value, not " + yamlField.value().label());
		return Optional.empty();
	}

	void addFinding(String field, String message) {
		this.invalidFields.add(field);
		this.findings.add(this.origin.path() + "." + field, this.origin.positionOf(field), message);
	}

	void rejectUnknownFields() {
		this.origin.mapping().fields().forEach((name, field) -> {
			if (!this.knownFields.contains(name)) {
				this.invalidFields.add(name);
				this.findings.add(this.origin.path() + "." + name, field.namePosition(), "unknown field");
			}
		});
	}

}
