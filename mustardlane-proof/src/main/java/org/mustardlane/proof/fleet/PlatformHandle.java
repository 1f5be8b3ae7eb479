package org.mustardlane.proof.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The platform stand-in of a fleet. Each failure domain uses an address of its own, so
 * that faults can be limited to one domain.
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
	 * Returns the base URL of the platform for one failure domain.
	 * @param domain the failure domain
	 * @return the base URL
	 */
	public String url(String domain) {
		return this.urls.get(domain);
	}

	/**
	 * Sets the faults of the platform for one failure domain.
	 * @param domain the failure domain
	 * @param json the faults as JSON, which replace the earlier ones
	 * @throws FleetException if the platform does not accept the faults
	 */
	public void faults(String domain, String json) throws FleetException {
		this.control.putJson(url(domain) + "/faults", json);
	}

	/**
	 * Sets the faults of the platform for all failure domains.
	 * @param json the faults as JSON, which replace the earlier ones
	 * @throws FleetException if the platform does not accept the faults
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
