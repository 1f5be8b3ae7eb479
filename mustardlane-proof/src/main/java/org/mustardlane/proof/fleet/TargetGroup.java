package org.mustardlane.proof.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.standin.target.JournalRow;

/**
 * The targets of a fleet, their faults and what they recorded.
 */
public final class TargetGroup {

	private final ControlClient control;

	private final boolean forwarded;

	private final Map<String, TargetHandle> targets = new LinkedHashMap<>();

	private final Map<String, Forwarder> links = new LinkedHashMap<>();

	TargetGroup(ControlClient control, boolean forwarded) {
		this.control = control;
		this.forwarded = forwarded;
	}

	void add(TargetKind kind, List<JsonNode> lines, FleetSettings settings) {
		for (int index = 0; index < lines.size(); index++) {
			int port = lines.get(index).path("port").asInt();
			String name = ((kind == TargetKind.ENGINE) ? "engine-" : "service-") + (index + 1);
			int routedPort = port;
			if (this.forwarded) {
				this.links.put(name, new Forwarder(port));
				routedPort = this.links.get(name).port();
			}
			this.targets.put(name, new TargetHandle(name, kind, settings.domain(index), port, routedPort));
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
	 * Cuts or joins the links to a target.
	 * @param target its name
	 * @param state what becomes of connections
	 */
	public void link(String target, LinkState state) {
		this.links.get(target).set(state);
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

	void close() {
		this.links.values().forEach(Forwarder::close);
	}

}
