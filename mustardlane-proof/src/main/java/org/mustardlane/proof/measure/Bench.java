package org.mustardlane.proof.measure;

import java.util.List;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.proof.caller.Caller;
import org.mustardlane.proof.fleet.Fleet;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.standin.target.JournalRow;

/**
 * What an experiment runs on.
 *
 * @param fleet the fleet
 * @param route how calls reach the engines
 * @param caller who calls
 * @param model how the engines behave
 * @param seed seed of the traces
 */
record Bench(Fleet fleet, Route route, Caller caller, EngineModel model, long seed) {

	/**
	 * Takes an engine out or in, on the route as well as in its report and the VM list.
	 * @param engine its name
	 * @param isLeaving whether it leaves
	 * @throws FleetException if the fleet does not take it
	 */
	void leave(String engine, boolean isLeaving) throws FleetException {
		this.route.leave(engine, isLeaving);
		this.fleet.targets().faults(engine, "{\"leaving\":%s}".formatted(isLeaving));
		this.fleet.listAsLeaving(engine, isLeaving);
	}

	/**
	 * Slows an engine.
	 * @param engine its name
	 * @param factor by what
	 * @throws FleetException if the fleet does not take it
	 */
	void slow(String engine, double factor) throws FleetException {
		this.fleet.targets().faults(engine, "{\"slowFactor\":%s}".formatted(factor));
	}

	/**
	 * Reads which requests engines have started since a time.
	 * @param sinceMillis the time
	 * @return the requests
	 * @throws FleetException if a journal can not be read
	 */
	List<JournalRow> startedSince(long sinceMillis) throws FleetException {
		return this.fleet.targets()
			.journals(TargetKind.ENGINE)
			.stream()
			.filter((row) -> row.startedAtMillis() >= sinceMillis)
			.toList();
	}

}
