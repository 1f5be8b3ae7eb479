package org.mustardlane.router.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.VmEntry;
import org.mustardlane.core.model.membership.VmList;
import org.mustardlane.core.model.membership.VmState;

/**
 * Converts the VM list that routers relay to each other to and from JSON.
 */
final class VmListJson {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private VmListJson() {
	}

	/**
	 * Writes the entries of a list.
	 * @param list the list
	 * @return the entries as JSON
	 */
	static byte[] toJson(VmList list) {
		ArrayNode array = MAPPER.createArrayNode();
		for (VmEntry entry : list.entries()) {
			array.addObject()
				.put("vm", entry.vm().value())
				.put("domain", entry.domain().value())
				.put("host", entry.host())
				.put("peerPort", entry.peerPort())
				.put("state", entry.state().name());
		}
		return array.toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Parses the entries of a list.
	 * @param version version of the list
	 * @param json the entries as JSON
	 * @return the list
	 * @throws MalformedFrameException if the entries are not valid JSON
	 */
	static VmList parse(long version, byte[] json) throws MalformedFrameException {
		try {
			List<VmEntry> entries = new ArrayList<>();
			for (JsonNode row : MAPPER.readTree(json)) {
				entries.add(new VmEntry(new VmId(row.path("vm").asText()), new DomainId(row.path("domain").asText()),
						row.path("host").asText(), row.path("peerPort").asInt(),
						VmState.valueOf(row.path("state").asText())));
			}
			return new VmList(version, entries);
		}
		catch (IOException ex) {
			throw new MalformedFrameException("the VM list is not valid JSON");
		}
	}

}
