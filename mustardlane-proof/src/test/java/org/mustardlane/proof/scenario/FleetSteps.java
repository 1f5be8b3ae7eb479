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
import org.mustardlane.proof.fleet.WaitUtils;

/**
 * Steps that start the fleet and inject faults.
 */
public class FleetSteps {

	private final ScenarioContext context;

	/**
	 * Creates the steps.
	 * @param context the fleet and the calls of the scenario
	 */
	public FleetSteps(ScenarioContext context) {
		this.context = context;
	}

	@Given("a fleet of {int} routers")
	public void startFleet(int routers) throws FleetException {
		this.context.start(FleetSettings.SMALL.withRouters(routers), true);
	}

	@Given("a fleet of {int} routers and a platform with {string}")
	public void startFleet(int routers, String platformFlags) throws FleetException {
		List<String> flags = List.of(platformFlags.split(" "));
		this.context.start(FleetSettings.SMALL.withRouters(routers).withPlatformFlags(flags), true);
	}

	@Given("targets without routers")
	public void startTargets() throws FleetException {
		this.context.start(FleetSettings.SMALL, false);
	}

	@When("I kill {word}")
	public void kill(String vm) {
		this.context.fleet().killRouter(vm);
	}

	@When("I freeze {word}")
	public void freeze(String vm) throws FleetException {
		this.context.fleet().router(vm).process().sendSignal(Signal.STOP);
	}

	@When("I resume {word}")
	public void resume(String vm) throws FleetException {
		this.context.fleet().router(vm).process().sendSignal(Signal.CONT);
	}

	@When("I restart {word}")
	public void restart(String vm) throws FleetException {
		RouterHandle router = this.context.fleet().restartRouter(vm);
		this.context.fleet().awaitRevision(router, this.context.fleet().initialRevision());
	}

	@When("I start {word} in {string}")
	public void start(String vm, String domain) throws FleetException {
		this.context.fleet().startRouter(vm, domain);
	}

	@When("I drain {word}")
	public void drain(String vm) throws FleetException {
		try (OperatorClient client = new OperatorClient(this.context.fleet().router(vm).operatorPort())) {
			client.drain(System.currentTimeMillis() + 60_000);
		}
	}

	@When("{word} has exited")
	public void awaitExit(String vm) throws FleetException {
		RouterHandle router = this.context.fleet().router(vm);
		WaitUtils.awaitCondition(vm + " has exited", () -> !router.process().isAlive());
	}

	@When("I partition {string} from {string}")
	public void partition(String domain, String otherDomain) {
		this.context.fleet().links().setDomainLink(domain, otherDomain, LinkState.SILENT);
	}

	@When("I reconnect {string} and {string}")
	public void reconnect(String domain, String otherDomain) {
		this.context.fleet().links().setDomainLink(domain, otherDomain, LinkState.OPEN);
	}

	@When("the link to {word} is {word}")
	public void setTargetLinkState(String target, String state) {
		this.context.fleet().links().setTargetLink(target, LinkState.valueOf(state));
	}

	@When("the platform has the faults {}")
	public void setPlatformFaults(String json) throws FleetException {
		this.context.fleet().platform().setFaults(json);
	}

	@When("the platform seen from {string} has the faults {}")
	public void setPlatformFaults(String domain, String json) throws FleetException {
		this.context.fleet().platform().setFaults(domain, json);
	}

	@When("all engines have the faults {}")
	public void setEngineFaults(String json) throws FleetException {
		this.context.fleet().targets().setFaultsOfKind(TargetKind.ENGINE, json);
	}

	@When("all services have the faults {}")
	public void setServiceFaults(String json) throws FleetException {
		this.context.fleet().targets().setFaultsOfKind(TargetKind.SERVICE, json);
	}

	@When("target {string} has the faults {}")
	public void setTargetFaults(String target, String json) throws FleetException {
		this.context.fleet().targets().setFaults(target, json);
	}

	@When("the VM list names {word} as leaving")
	public void listAsLeaving(String vm) throws FleetException {
		this.context.fleet().setLeaving(vm, true);
	}

	@When("{int} milliseconds pass")
	public void pause(int millis) throws FleetException {
		WaitUtils.sleep(millis);
	}

}
