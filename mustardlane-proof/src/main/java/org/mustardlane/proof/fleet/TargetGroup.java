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
	 * Sets the faults of a target.
	 * @param target the name of the target
	 * @param json the faults as JSON, which replace the earlier ones
	 * @throws FleetException if a target does not accept the faults
	 */
	public void faults(String target, String json) throws FleetException {
		this.control.putJson(get(target).url() + "/faults", json);
	}

	/**
	 * Sets the faults of all targets of one kind.
	 * @param kind engine or plain service
	 * @param json the faults as JSON, which replace the earlier ones
	 * @throws FleetException if a target does not accept the faults
	 */
	public void allFaults(TargetKind kind, String json) throws FleetException {
		for (TargetHandle target : ofKind(kind)) {
			faults(target.name(), json);
		}
	}

	/**
	 * Reads the journals of all targets of one kind.
	 * @param kind engine or plain service
	 * @return one row for each request that the targets started
	 * @throws FleetException if a journal cannot be read
	 */
	public List<JournalRow> journals(TargetKind kind) throws FleetException {
		List<JournalRow> rows = new ArrayList<>();
		for (TargetHandle target : ofKind(kind)) {
			rows.addAll(this.control.journal(target.url()));
		}
		return rows;
	}

	/**
	 * Returns a target by name.
	 * @param name the name of the target
	 * @return the target
	 */
	public TargetHandle get(String name) {
		return this.targets.get(name);
	}

	/**
	 * Returns the targets of one kind.
	 * @param kind engine or plain service
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
