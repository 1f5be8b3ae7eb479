package org.mustardlane.proof.scenario;

import java.util.List;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.FleetSettings;
import org.mustardlane.proof.fleet.LinkState;
import org.mustardlane.proof.fleet.OperatorClient;
import org.mustardlane.proof.fleet.RouterHandle;
import org.mustardlane.proof.fleet.Signal;
import org.mustardlane.proof.fleet.Waiting;

/**
 * Steps that start the fleet and inject faults.
 */
public class FleetSteps {

	private final World world;

	/**
	 * Creates the steps.
	 * @param world the fleet and the calls of the scenario
	 */
	public FleetSteps(World world) {
		this.world = world;
	}

	@Given("a fleet of {int} routers")
	public void startFleet(int routers) throws FleetException {
		this.world.start(FleetSettings.SMALL.withRouters(routers), true);
	}

	@Given("a fleet of {int} routers and a platform with {string}")
	public void startFleet(int routers, String platformFlags) throws FleetException {
		List<String> flags = List.of(platformFlags.split(" "));
		this.world.start(FleetSettings.SMALL.withRouters(routers).withPlatformFlags(flags), true);
	}

	@Given("targets without routers")
	public void startTargets() throws FleetException {
		this.world.start(FleetSettings.SMALL, false);
	}

	@When("I kill {word}")
	public void kill(String vm) {
		this.world.fleet().killRouter(vm);
	}

	@When("I freeze {word}")
	public void freeze(String vm) throws FleetException {
		this.world.fleet().router(vm).process().signal(Signal.STOP);
	}

	@When("I thaw {word}")
	public void thaw(String vm) throws FleetException {
		this.world.fleet().router(vm).process().signal(Signal.CONT);
	}

	@When("I restart {word}")
	public void restart(String vm) throws FleetException {
		RouterHandle router = this.world.fleet().restartRouter(vm);
		this.world.fleet().awaitRevision(router, this.world.fleet().firstRevision());
	}

	@When("I start {word} in {string}")
	public void start(String vm, String domain) throws FleetException {
		this.world.fleet().startRouter(vm, domain);
	}

	@When("I drain {word}")
	public void drain(String vm) throws FleetException {
		try (OperatorClient client = new OperatorClient(this.world.fleet().router(vm).operatorPort())) {
			client.drain(System.currentTimeMillis() + 60_000);
		}
	}

	@When("{word} has ended")
	public void awaitEnd(String vm) throws FleetException {
		RouterHandle router = this.world.fleet().router(vm);
		Waiting.until(vm + " has exited", () -> !router.process().isAlive());
	}

	@When("I cut {string} from {string}")
	public void cut(String one, String other) {
		this.world.fleet().links().set(one, other, LinkState.SILENT);
	}

	@When("I join {string} and {string}")
	public void join(String one, String other) {
		this.world.fleet().links().set(one, other, LinkState.OPEN);
	}

	@When("the link to {word} is {word}")
	public void linkTarget(String target, String state) {
		this.world.fleet().links().setTarget(target, LinkState.valueOf(state));
	}

	@When("the platform has the faults {}")
	public void platformFaults(String json) throws FleetException {
		this.world.fleet().platform().faults(json);
	}

	@When("the platform seen from {string} has the faults {}")
	public void platformFaults(String domain, String json) throws FleetException {
		this.world.fleet().platform().faults(domain, json);
	}

	@When("all engines have the faults {}")
	public void engineFaults(String json) throws FleetException {
		this.world.fleet().targets().allFaults(TargetKind.ENGINE, json);
	}

	@When("all services have the faults {}")
	public void serviceFaults(String json) throws FleetException {
		this.world.fleet().targets().allFaults(TargetKind.SERVICE, json);
	}

	@When("target {string} has the faults {}")
	public void targetFaults(String target, String json) throws FleetException {
		this.world.fleet().targets().faults(target, json);
	}

	@When("the VM list names {word} as leaving")
	public void listAsLeaving(String vm) throws FleetException {
		this.world.fleet().listAsLeaving(vm, true);
	}

	@When("{int} milliseconds pass")
	public void pause(int millis) throws FleetException {
		Waiting.pause(millis);
	}

}
