package org.mustardlane.proof.scenario;

import java.util.List;

import io.cucumber.java.Before;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.When;

import org.mustardlane.proof.caller.RecordedCall;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.FleetSettings;
import org.mustardlane.proof.random.KeyedCallSender;
import org.mustardlane.proof.random.RandomFaultInjector;

/**
 * Steps that inject random faults.
 */
public class RandomSteps {

	private final ScenarioContext context;

	private Scenario scenario;

	/**
	 * Creates the steps.
	 * @param context the fleet and the calls of the scenario
	 */
	public RandomSteps(ScenarioContext context) {
		this.context = context;
	}

	/**
	 * Stores the scenario, to which the summary is logged.
	 * @param startedScenario the scenario that starts
	 */
	@Before
	public void storeScenario(Scenario startedScenario) {
		this.scenario = startedScenario;
	}

	@When("{int} release requests with a key each are sent at {int} per second under random faults with seed {long}")
	public void sendReleases(int keyCount, int keysPerSecond, long seed) throws FleetException {
		KeyedCallSender sender = new KeyedCallSender(this.context.fleet(), this.context.caller(), seed);
		List<RecordedCall> calls;
		try (RandomFaultInjector faults = new RandomFaultInjector(this.context.fleet(), FleetSettings.SMALL.domains(),
				seed)) {
			calls = sender.sendAll(keyCount, keysPerSecond);
		}
		calls.forEach(this.context::addCall);
		this.scenario.log("seed " + seed + ": " + KeyedCallSender.summarise(calls, this.context.readJournals()));
	}

}
