package org.mustardlane.proof.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.cucumber.java.After;
import io.cucumber.java.Scenario;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.proof.caller.CallRequest;
import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.caller.Caller;
import org.mustardlane.proof.caller.OutcomeChecker;
import org.mustardlane.proof.caller.RecordedCall;
import org.mustardlane.proof.fleet.Fleet;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.FleetSettings;
import org.mustardlane.proof.fleet.WaitUtils;
import org.mustardlane.standin.target.JournalRow;

/**
 * The fleet and the calls of one scenario, shared by the step classes.
 */
public final class ScenarioContext {

	private static final int MAX_LOGGED_CALLS = 20;

	private final Caller caller = new Caller();

	private final Map<String, RecordedCall> calls = new LinkedHashMap<>();

	private final Map<String, RecordedCall> targetCalls = new LinkedHashMap<>();

	private Optional<Fleet> fleet = Optional.empty();

	void start(FleetSettings settings, boolean withRouters) throws FleetException {
		this.fleet = Optional.of(withRouters ? Fleet.start(settings) : Fleet.startWithoutRouters(settings));
	}

	Fleet fleet() {
		return this.fleet.orElseThrow();
	}

	Caller caller() {
		return this.caller;
	}

	void addCall(RecordedCall call) {
		this.calls.put(call.name(), call);
	}

	void sendToRouter(String name, String vm, CallRequest request, int tokens) {
		String url = fleet().router(vm).url();
		this.calls.put(name, RecordedCall.start(name, this.caller, url, request, tokens));
	}

	void sendToTarget(String name, String target, CallRequest request, int tokens) {
		String url = fleet().targets().target(target).url();
		this.targetCalls.put(name, RecordedCall.start(name, this.caller, url, request, tokens));
	}

	RecordedCall recordedCall(String name) {
		return this.calls.getOrDefault(name, this.targetCalls.get(name));
	}

	List<RecordedCall> callsWithPrefix(String prefix) {
		return this.calls.values().stream().filter((call) -> call.name().startsWith(prefix)).toList();
	}

	CallResult awaitResult(String name) throws FleetException {
		return WaitUtils.awaitResult(name, recordedCall(name).result());
	}

	List<JournalRow> readJournals() throws FleetException {
		List<JournalRow> rows = new ArrayList<>(fleet().targets().readJournals(TargetKind.SERVICE));
		rows.addAll(fleet().targets().readJournals(TargetKind.ENGINE));
		return rows;
	}

	/**
	 * Checks the guarantees that hold in every scenario and stops the fleet.
	 * @param scenario the scenario that has ended
	 * @throws FleetException if a guarantee is violated
	 */
	@After
	public void checkAndStop(Scenario scenario) throws FleetException {
		try {
			logResults(scenario);
			if (this.fleet.isPresent() && !scenario.isFailed()) {
				checkOutcomes();
			}
		}
		finally {
			this.caller.close();
			this.fleet.ifPresent((startedFleet) -> {
				scenario.log("logs: " + startedFleet.logDirectory());
				startedFleet.close();
			});
		}
	}

	private void logResults(Scenario scenario) {
		this.calls.values().stream().limit(MAX_LOGGED_CALLS).forEach((call) -> {
			String summary = call.resultIfEnded().map(CallResult::summary).orElse("still running");
			scenario.log(call.name() + ": " + summary);
		});
	}

	private void checkOutcomes() throws FleetException {
		for (RecordedCall call : this.calls.values()) {
			WaitUtils.awaitResult(call.name(), call.result());
		}
		List<String> violations = OutcomeChecker.check(this.calls.values(), readJournals());
		if (!violations.isEmpty()) {
			throw new FleetException(String.join("\n", violations));
		}
	}

}
