package org.mustardlane.router.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.membership.VmEntry;
import org.mustardlane.core.model.membership.VmList;
import org.mustardlane.core.model.membership.VmState;

/**
 * Parses JSON responses of the platform.
 */
final class PlatformJson {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private PlatformJson() {
	}

	/**
	 * Parses the response to a read of a stream.
	 * @param stream the stream
	 * @param json body of the response
	 * @return the records read
	 * @throws IOException if the body is malformed
	 */
	static LogRecordsRead parseRecords(StreamName stream, byte[] json) throws IOException {
		JsonNode root = MAPPER.readTree(json);
		long nextOffset = longField(root, "nextOffset");
		List<LogRecord> records = new ArrayList<>();
		for (JsonNode record : requiredField(root, "records")) {
			records.add(new LogRecord(longField(record, "offset"), longField(record, "appendedAtMillis"),
					requiredField(record, "type").asText(), decodeBody(record)));
		}
		return new LogRecordsRead(stream, longField(root, "firstRetainedOffset"), nextOffset,
				nextOffset >= longField(root, "endOffset"), records);
	}

	/**
	 * Parses the VM list.
	 * @param json body of the response
	 * @return the list
	 * @throws IOException if the body is malformed
	 */
	static VmList parseVmList(byte[] json) throws IOException {
		JsonNode root = MAPPER.readTree(json);
		List<VmEntry> entries = new ArrayList<>();
		for (JsonNode row : requiredField(root, "vms")) {
			entries.add(parseEntry(row));
		}
		return new VmList(longField(root, "version"), entries);
	}

	private static VmEntry parseEntry(JsonNode row) throws IOException {
		try {
			return new VmEntry(new VmId(requiredField(row, "vm").asText()),
					new DomainId(requiredField(row, "domain").asText()), requiredField(row, "host").asText(),
					(int) longField(row, "peerPort"), VmState.valueOf(requiredField(row, "state").asText()));
		}
		catch (IllegalArgumentException ex) {
			throw new IOException("malformed entry in the VM list", ex);
		}
	}

	private static byte[] decodeBody(JsonNode record) throws IOException {
		byte[] body = requiredField(record, "body").binaryValue();
		if (body == null) {
			throw new IOException("the body of a record is not base64");
		}
		return body;
	}

	private static long longField(JsonNode node, String name) throws IOException {
		JsonNode value = requiredField(node, name);
		if (!value.canConvertToLong()) {
			throw new IOException(name + " is not a number");
		}
		return value.asLong();
	}

	private static JsonNode requiredField(JsonNode node, String name) throws IOException {
		JsonNode value = (node != null) ? node.get(name) : null;
		if (value == null) {
			throw new IOException(name + " is missing");
		}
		return value;
	}

}
