package org.mustardlane.proof.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The platform of a fleet, of which each failure domain has a view.
 */
public final class PlatformHandle {

	private final ControlClient control;

	private final Map<String, String> urls = new LinkedHashMap<>();

	PlatformHandle(ControlClient control, List<String> domains, List<JsonNode> lines) {
		this.control = control;
		for (int index = 0; index < lines.size(); index++) {
			this.urls.put(domains.get(index), "http://127.0.0.1:" + lines.get(index).path("port").asInt());
		}
	}

	/**
	 * Returns the address of the platform for one failure domain.
	 * @param domain the domain
	 * @return the address
	 */
	public String url(String domain) {
		return this.urls.get(domain);
	}

	/**
	 * Sets faults of the platform as seen from one failure domain.
	 * @param domain the domain
	 * @param json the faults
	 * @throws FleetException if they are not taken
	 */
	public void faults(String domain, String json) throws FleetException {
		this.control.putJson(url(domain) + "/faults", json);
	}

	/**
	 * Sets faults of the platform as seen from everywhere.
	 * @param json the faults
	 * @throws FleetException if they are not taken
	 */
	public void faults(String json) throws FleetException {
		for (String domain : this.urls.keySet()) {
			faults(domain, json);
		}
	}

	void list(Map<String, Object> vms) throws FleetException {
		for (String url : this.urls.values()) {
			this.control.put(url + "/vms", vms);
		}
	}

}
