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
 * The targets of a fleet, their faults and what they recorded.
 */
public final class TargetGroup {

	private final ControlClient control;

	private final Optional<Links> links;

	private final Map<String, TargetHandle> targets = new LinkedHashMap<>();

	TargetGroup(ControlClient control, Optional<Links> links) {
		this.control = control;
		this.links = links;
	}

	void add(TargetKind kind, List<JsonNode> lines, FleetSettings settings) {
		for (int index = 0; index < lines.size(); index++) {
			int port = lines.get(index).path("port").asInt();
			String name = ((kind == TargetKind.ENGINE) ? "engine-" : "service-") + (index + 1);
			String domain = settings.domain(index);
			int routedPort = this.links.map((through) -> forward(through.toTarget(name, domain), port)).orElse(port);
			this.targets.put(name, new TargetHandle(name, kind, domain, port, routedPort));
		}
	}

	/**
	 * Returns all targets.
	 * @return the targets
	 */
	public List<TargetHandle> all() {
		return List.copyOf(this.targets.values());
	}

	/**
	 * Sets faults of a target.
	 * @param target its name
	 * @param json the faults
	 * @throws FleetException if they are not taken
	 */
	public void faults(String target, String json) throws FleetException {
		this.control.putJson(get(target).url() + "/faults", json);
	}

	/**
	 * Sets faults of all targets of one kind.
	 * @param kind the kind
	 * @param json the faults
	 * @throws FleetException if they are not taken
	 */
	public void allFaults(TargetKind kind, String json) throws FleetException {
		for (TargetHandle target : ofKind(kind)) {
			faults(target.name(), json);
		}
	}

	/**
	 * Reads what all targets of one kind recorded.
	 * @param kind the kind
	 * @return the requests that they started
	 * @throws FleetException if a journal can not be read
	 */
	public List<JournalRow> journals(TargetKind kind) throws FleetException {
		List<JournalRow> rows = new ArrayList<>();
		for (TargetHandle target : ofKind(kind)) {
			rows.addAll(this.control.journal(target.url()));
		}
		return rows;
	}

	/**
	 * Returns a target.
	 * @param name its name
	 * @return the target
	 */
	public TargetHandle get(String name) {
		return this.targets.get(name);
	}

	/**
	 * Returns the targets of one kind.
	 * @param kind the kind
	 * @return the targets
	 */
	public List<TargetHandle> ofKind(TargetKind kind) {
		return this.targets.values().stream().filter((target) -> target.kind() == kind).toList();
	}

	private static int forward(Forwarder forwarder, int port) {
		forwarder.connectTo(port);
		return forwarder.port();
	}

}
