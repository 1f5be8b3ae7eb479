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
 * Reads the JSON of the platform.
 */
final class PlatformJson {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private PlatformJson() {
	}

	/**
	 * Reads an answer to a read of a stream.
	 * @param stream the stream
	 * @param json the answer
	 * @return the records
	 * @throws IOException if the answer is not as agreed
	 */
	static LogRecordsRead records(StreamName stream, byte[] json) throws IOException {
		JsonNode root = MAPPER.readTree(json);
		long nextOffset = number(root, "nextOffset");
		List<LogRecord> records = new ArrayList<>();
		for (JsonNode record : field(root, "records")) {
			records.add(new LogRecord(number(record, "offset"), number(record, "appendedAtMillis"),
					field(record, "type").asText(), body(record)));
		}
		return new LogRecordsRead(stream, number(root, "firstRetainedOffset"), nextOffset,
				nextOffset >= number(root, "endOffset"), records);
	}

	/**
	 * Reads the VM list.
	 * @param json the answer
	 * @return the list
	 * @throws IOException if the answer is not as agreed
	 */
	static VmList vmList(byte[] json) throws IOException {
		JsonNode root = MAPPER.readTree(json);
		List<VmEntry> entries = new ArrayList<>();
		for (JsonNode row : field(root, "vms")) {
			entries.add(entry(row));
		}
		return new VmList(number(root, "version"), entries);
	}

	private static VmEntry entry(JsonNode row) throws IOException {
		try {
			return new VmEntry(new VmId(field(row, "vm").asText()), new DomainId(field(row, "domain").asText()),
					field(row, "host").asText(), (int) number(row, "peerPort"),
					VmState.valueOf(field(row, "state").asText()));
		}
		catch (IllegalArgumentException ex) {
			throw new IOException("a row of the VM list is not as agreed", ex);
		}
	}

	private static byte[] body(JsonNode record) throws IOException {
		byte[] body = field(record, "body").binaryValue();
		if (body == null) {
			throw new IOException("the body of a record is not base64");
		}
		return body;
	}

	private static long number(JsonNode node, String name) throws IOException {
		JsonNode value = field(node, name);
		if (!value.canConvertToLong()) {
			throw new IOException(name + " is not a number");
		}
		return value.asLong();
	}

	private static JsonNode field(JsonNode node, String name) throws IOException {
		JsonNode value = (node != null) ? node.get(name) : null;
		if (value == null) {
			throw new IOException(name + " is missing");
		}
		return value;
	}

}
