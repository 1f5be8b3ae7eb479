package org.mustardlane.proof.measure;

import java.util.List;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.proof.caller.Caller;
import org.mustardlane.proof.fleet.Fleet;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.standin.target.JournalRow;

/**
 * The fleet and parameters with which an experiment runs.
 *
 * @param fleet the fleet
 * @param sender sends calls to the engines, directly or through routers
 * @param caller the client that sends the requests
 * @param engineSettings the performance of the engines
 * @param seed seed of the traces
 */
record ExperimentSetup(Fleet fleet, CallSender sender, Caller caller, StandinEngineSettings engineSettings, long seed) {

	/**
	 * Marks an engine as leaving or present: for the sender, in the state that the engine
	 * reports and in the VM list.
	 * @param engine the name of the engine
	 * @param isLeaving whether the engine is leaving
	 * @throws FleetException if a stand-in does not accept the change
	 */
	void setLeaving(String engine, boolean isLeaving) throws FleetException {
		this.sender.setLeaving(engine, isLeaving);
		this.fleet.targets().setFaults(engine, "{\"leaving\":%s}".formatted(isLeaving));
		this.fleet.setLeaving(engine, isLeaving);
	}

	/**
	 * Slows down an engine.
	 * @param engine the name of the engine
	 * @param factor the factor by which requests take longer; 1 restores the normal speed
	 * @throws FleetException if a stand-in does not accept the change
	 */
	void setSlowFactor(String engine, double factor) throws FleetException {
		this.fleet.targets().setFaults(engine, "{\"slowFactor\":%s}".formatted(factor));
	}

	/**
	 * Reads the requests that engines have started since a time.
	 * @param sinceMillis the time in epoch milliseconds
	 * @return one journal row for each request
	 * @throws FleetException if a journal cannot be read
	 */
	List<JournalRow> requestsStartedSince(long sinceMillis) throws FleetException {
		return this.fleet.targets()
			.readJournals(TargetKind.ENGINE)
			.stream()
			.filter((row) -> row.startedAtMillis() >= sinceMillis)
			.toList();
	}

}
