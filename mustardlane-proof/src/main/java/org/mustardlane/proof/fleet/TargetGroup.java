package org.mustardlane.proof.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.standin.target.JournalRow;

/**
 * The targets of a fleet, with access to their faults and journals.
 */
public final class TargetGroup {

	private final StandinClient standinClient;

	private final Optional<NetworkLinks> links;

	private final Map<String, TargetHandle> targets = new LinkedHashMap<>();

	TargetGroup(StandinClient standinClient, Optional<NetworkLinks> links) {
		this.standinClient = standinClient;
		this.links = links;
	}

	void addTargets(TargetKind kind, List<JsonNode> addressLines, FleetSettings settings) {
		for (int index = 0; index < addressLines.size(); index++) {
			int port = addressLines.get(index).path("port").asInt();
			String name = ((kind == TargetKind.ENGINE) ? "engine-" : "service-") + (index + 1);
			String domain = settings.domain(index);
			int routedPort = this.links
				.map((networkLinks) -> connectForwarder(networkLinks.targetForwarder(name, domain), port))
				.orElse(port);
			this.targets.put(name, new TargetHandle(name, kind, domain, port, routedPort));
		}
	}

	/**
	 * Returns all targets.
	 * @return the targets
	 */
	public List<TargetHandle> allTargets() {
		return List.copyOf(this.targets.values());
	}

	/**
	 * Sets the faults of a target.
	 * @param target the name of the target
	 * @param json the faults as JSON, which replace the earlier ones
	 * @throws FleetException if a target does not accept the faults
	 */
	public void setFaults(String target, String json) throws FleetException {
		this.standinClient.putJson(target(target).url() + "/faults", json);
	}

	/**
	 * Sets the faults of all targets of one kind.
	 * @param kind engine or plain service
	 * @param json the faults as JSON, which replace the earlier ones
	 * @throws FleetException if a target does not accept the faults
	 */
	public void setFaultsOfKind(TargetKind kind, String json) throws FleetException {
		for (TargetHandle target : targetsOfKind(kind)) {
			setFaults(target.name(), json);
		}
	}

	/**
	 * Reads the journals of all targets of one kind.
	 * @param kind engine or plain service
	 * @return one row for each request that the targets started
	 * @throws FleetException if a journal cannot be read
	 */
	public List<JournalRow> readJournals(TargetKind kind) throws FleetException {
		List<JournalRow> rows = new ArrayList<>();
		for (TargetHandle target : targetsOfKind(kind)) {
			rows.addAll(this.standinClient.readJournal(target.url()));
		}
		return rows;
	}

	/**
	 * Returns a target by name.
	 * @param name the name of the target
	 * @return the target
	 */
	public TargetHandle target(String name) {
		return this.targets.get(name);
	}

	/**
	 * Returns the targets of one kind.
	 * @param kind engine or plain service
	 * @return the targets
	 */
	public List<TargetHandle> targetsOfKind(TargetKind kind) {
		return this.targets.values().stream().filter((target) -> target.kind() == kind).toList();
	}

	private static int connectForwarder(Forwarder forwarder, int port) {
		forwarder.setTargetPort(port);
		return forwarder.port();
	}

}
