package org.mustardlane.proof.scenario;

import java.util.List;

import io.cucumber.java.Before;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.When;

import org.mustardlane.proof.caller.RecordedCall;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.FleetSettings;
import org.mustardlane.proof.random.KeyedCalls;
import org.mustardlane.proof.random.RandomFaults;

/**
 * Steps that inject random faults.
 */
public class RandomSteps {

	private final World world;

	private Scenario scenario;

	/**
	 * Creates the steps.
	 * @param world the fleet and the calls of the scenario
	 */
	public RandomSteps(World world) {
		this.world = world;
	}

	/**
	 * Stores the scenario, to which the summary is logged.
	 * @param begun the scenario that starts
	 */
	@Before
	public void begin(Scenario begun) {
		this.scenario = begun;
	}

	@When("{int} keys are released at {int} a second under random faults with seed {long}")
	public void release(int keys, int perSecond, long seed) throws FleetException {
		KeyedCalls sender = new KeyedCalls(this.world.fleet(), this.world.caller(), seed);
		List<RecordedCall> calls;
		try (RandomFaults faults = new RandomFaults(this.world.fleet(), FleetSettings.SMALL.domains(), seed)) {
			calls = sender.run(keys, perSecond);
		}
		calls.forEach(this.world::add);
		this.scenario.log("seed " + seed + ": " + KeyedCalls.summary(calls, this.world.journal()));
	}

}
