package org.mustardlane.core.catalogue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.Function;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

/**
 * Encodes and decodes the bodies of the records in the catalogue stream.
 *
 * <p>
 * A body that violates a rule of {@link ItemRules} is treated as corrupt, so that all
 * processes skip the same records. Thread-safe: all methods are pure functions.
 */
final class RecordCodec {

	private static final int MAX_STATE_BYTES = 1 << 26;

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
				DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES,
				DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES,
				DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
		.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
		.addModule(identifierModule())
		.build();

	private RecordCodec() {
	}

	private static SimpleModule identifierModule() {
		SimpleModule module = new SimpleModule();
		registerIdentifier(module, OrganisationId.class, OrganisationId::new);
		registerIdentifier(module, TargetId.class, TargetId::new);
		registerIdentifier(module, PoolId.class, PoolId::new);
		registerIdentifier(module, DomainId.class, DomainId::new);
		registerIdentifier(module, EntryName.class, EntryName::new);
		return module;
	}

	private static <T> void registerIdentifier(SimpleModule module, Class<T> type, Function<String, T> constructor) {
		module.addSerializer(type, new IdentifierSerializer<>(type));
		module.addDeserializer(type, new IdentifierDeserializer<>(type, constructor));
	}

	static byte[] encode(PublishedChange change) {
		return writeJson(change);
	}

	static byte[] encode(CatalogueState state) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
			gzip.write(writeJson(StoredState.of(state)));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	private static byte[] writeJson(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static PublishedChange decodeChange(byte[] body) throws CorruptRecordException {
		PublishedChange change = readJson(body, PublishedChange.class);
		CatalogueDelta delta = change.delta();
		requireValid(delta.organisations(), ItemRules::check);
		requireValid(delta.targets(), ItemRules::check);
		requireValid(delta.entries(), ItemRules::check);
		requireValid(delta.removals(), ItemRules::check);
		return change;
	}

	static CatalogueState decodeState(byte[] body) throws CorruptRecordException {
		StoredState stored = readJson(decompress(body), StoredState.class);
		requireValid(stored.organisations(), ItemRules::check);
		requireValid(stored.targets(), ItemRules::check);
		requireValid(stored.entries(), ItemRules::check);
		if (stored.revision() < 0 || stored.revision() >= stored.nextOffset()) {
			throw new CorruptRecordException("the revision does not lie before the next offset");
		}
		try {
			return stored.toState();
		}
		catch (RuntimeException ex) {
			throw new CorruptRecordException("the state holds an item twice", ex);
		}
	}

	private static byte[] decompress(byte[] body) throws CorruptRecordException {
		try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(body))) {
			byte[] bytes = gzip.readNBytes(MAX_STATE_BYTES + 1);
			if (bytes.length > MAX_STATE_BYTES) {
				throw new CorruptRecordException("longer than %d bytes".formatted(MAX_STATE_BYTES));
			}
			return bytes;
		}
		catch (IOException ex) {
			throw new CorruptRecordException("not compressed: " + ex.getMessage(), ex);
		}
	}

	private static <T> T readJson(byte[] body, Class<T> type) throws CorruptRecordException {
		try {
			T value = MAPPER.readValue(body, type);
			if (value == null) {
				throw new CorruptRecordException("the body holds nothing");
			}
			return value;
		}
		catch (IOException ex) {
			throw new CorruptRecordException(String.valueOf(ex.getMessage()).lines().findFirst().orElse(""), ex);
		}
	}

	private static <T> void requireValid(List<Versioned<T>> items, Function<T, List<ItemRules.Violation>> rules)
			throws CorruptRecordException {
		for (Versioned<T> versioned : items) {
			List<ItemRules.Violation> violations = rules.apply(versioned.item());
			if (!violations.isEmpty()) {
				throw new CorruptRecordException(violations.get(0).field() + " " + violations.get(0).message());
			}
		}
	}

	private static final class IdentifierSerializer<T> extends StdSerializer<T> {

		private static final long serialVersionUID = 1L;

		private IdentifierSerializer(Class<T> type) {
			super(type);
		}

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeString(value.toString());
		}

	}

	private static final class IdentifierDeserializer<T> extends FromStringDeserializer<T> {

		private static final long serialVersionUID = 1L;

		private final transient Function<String, T> constructor;

		private IdentifierDeserializer(Class<T> type, Function<String, T> constructor) {
			super(type);
			this.constructor = constructor;
		}

		@Override
		protected T _deserialize(String value, DeserializationContext context) {
			return this.constructor.apply(value);
		}

		@Override
		public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			return super.deserialize(parser, context);
		}

	}

}
