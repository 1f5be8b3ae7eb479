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
 * Reads the fields of one mapping and collects what is missing, misplaced or unknown.
 *
 * <p>
 * A field that can not be read gives a placeholder, and the reader is no longer
 * {@link #isClean()}: so that all fields are looked at before the item is given up. Used
 * by one thread.
 */
final class FieldReader {

	private static final Pattern INTEGER = Pattern.compile("-?\\d{1,18}");

	private static final String PLACEHOLDER = "placeholder";

	private final ParsedChange.Origin origin;

	private final FindingCollector findings;

	private final Set<String> known = new HashSet<>();

	private final Set<String> faulty = new HashSet<>();

	FieldReader(String path, Mapping mapping, FindingCollector findings) {
		this.origin = new ParsedChange.Origin(path, mapping);
		this.findings = findings;
	}

	boolean isClean() {
		return this.faulty.isEmpty();
	}

	boolean has(String field) {
		return this.origin.mapping().fields().containsKey(field);
	}

	boolean isReadable(String field) {
		return !this.faulty.contains(field);
	}

	ParsedChange.Origin origin() {
		return this.origin;
	}

	String text(String field) {
		return scalar(field).map(Scalar::text).filter((text) -> notEmpty(field, text)).orElse(PLACEHOLDER);
	}

	private boolean notEmpty(String field, String text) {
		if (text.isEmpty()) {
			add(field, "must not be empty");
		}
		return !text.isEmpty();
	}

	int integer(String field) {
		long value = scalar(field).map((scalar) -> longOf(field, scalar)).orElse(0L);
		if (value != (int) value) {
			add(field, "is too large");
			return 0;
		}
		return (int) value;
	}

	long revision(String field) {
		this.known.add(field);
		if (!this.origin.mapping().fields().containsKey(field)) {
			return 0;
		}
		long value = scalar(field).map((scalar) -> longOf(field, scalar)).orElse(0L);
		if (value < 0) {
			add(field, "must not be negative");
		}
		return Math.max(0, value);
	}

	private long longOf(String field, Scalar scalar) {
		if (scalar.kind() != ScalarKind.INTEGER || !INTEGER.matcher(scalar.text()).matches()) {
			add(field, "must be a whole number");
			return 0;
		}
		return Long.parseLong(scalar.text());
	}

	boolean bool(String field) {
		Optional<Scalar> scalar = scalar(field);
		if (scalar.isPresent() && scalar.get().kind() != ScalarKind.BOOLEAN) {
			add(field, "must be true or false");
		}
		return scalar.filter((found) -> "true".equalsIgnoreCase(found.text())).isPresent();
	}

	<E extends Enum<E>> E constant(String field, Class<E> type) {
		E[] constants = type.getEnumConstants();
		Optional<Scalar> scalar = scalar(field);
		if (scalar.isEmpty()) {
			return constants[0];
		}
		String name = scalar.get().text().toUpperCase(Locale.ROOT);
		Optional<E> found = Arrays.stream(constants).filter((constant) -> constant.name().equals(name)).findFirst();
		if (found.isEmpty()) {
			add(field, "must be one of " + Arrays.stream(constants).map(Enum::name).collect(Collectors.joining(", ")));
		}
		return found.orElse(constants[0]);
	}

	private Optional<Scalar> scalar(String field) {
		this.known.add(field);
		YamlNode.Field found = this.origin.mapping().fields().get(field);
		if (found == null) {
			add(field, "is missing");
			return Optional.empty();
		}
		if (found.value() instanceof Scalar scalar && scalar.kind() != ScalarKind.NULL) {
			return Optional.of(scalar);
		}
		add(field, "must be a single value, not " + found.value().label());
		return Optional.empty();
	}

	void add(String field, String message) {
		this.faulty.add(field);
		this.findings.add(this.origin.path() + "." + field, this.origin.placeOf(field), message);
	}

	void rejectUnknownFields() {
		this.origin.mapping().fields().forEach((name, field) -> {
			if (!this.known.contains(name)) {
				this.faulty.add(name);
				this.findings.add(this.origin.path() + "." + name, field.namePlace(), "unknown field");
			}
		});
	}

}
