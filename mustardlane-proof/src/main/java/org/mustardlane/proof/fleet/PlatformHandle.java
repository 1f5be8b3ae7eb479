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

	private final StandinClient standinClient;

	private final Map<String, String> urlsByDomain = new LinkedHashMap<>();

	PlatformHandle(StandinClient standinClient, List<String> domains, List<JsonNode> addressLines) {
		this.standinClient = standinClient;
		for (int index = 0; index < addressLines.size(); index++) {
			this.urlsByDomain.put(domains.get(index),
					"http://127.0.0.1:" + addressLines.get(index).path("port").asInt());
		}
	}

	/**
	 * Returns the base URL of the platform for one failure domain.
	 * @param domain the failure domain
	 * @return the base URL
	 */
	public String url(String domain) {
		return this.urlsByDomain.get(domain);
	}

	/**
	 * Sets the faults of the platform for one failure domain.
	 * @param domain the failure domain
	 * @param json the faults as JSON, which replace the earlier ones
	 * @throws FleetException if the platform does not accept the faults
	 */
	public void setFaults(String domain, String json) throws FleetException {
		this.standinClient.putJson(url(domain) + "/faults", json);
	}

	/**
	 * Sets the faults of the platform for all failure domains.
	 * @param json the faults as JSON, which replace the earlier ones
	 * @throws FleetException if the platform does not accept the faults
	 */
	public void setFaults(String json) throws FleetException {
		for (String domain : this.urlsByDomain.keySet()) {
			setFaults(domain, json);
		}
	}

	void publishVmList(Map<String, Object> vms) throws FleetException {
		for (String url : this.urlsByDomain.values()) {
			this.standinClient.put(url + "/vms", vms);
		}
	}

}
