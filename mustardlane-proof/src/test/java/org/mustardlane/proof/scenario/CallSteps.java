package org.mustardlane.proof.scenario;

import java.util.Optional;

import io.cucumber.java.en.When;
import org.jspecify.annotations.Nullable;

import org.mustardlane.proof.caller.CallRequest;
import org.mustardlane.proof.caller.RecordedCall;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.RouterHandle;
import org.mustardlane.proof.fleet.Waiting;

/**
 * Steps that send requests.
 */
public class CallSteps {

	private final World world;

	/**
	 * Creates the steps.
	 * @param world the fleet and the calls of the scenario
	 */
	public CallSteps(World world) {
		this.world = world;
	}

	@When("^caller (\\S+) sends (\\w+) to (vm-\\d+)(?: for (\\d+) tokens)?(?: with key (\\S+))?(?: and text (\\S+))?$")
	public void send(String name, String entry, String vm, @Nullable Integer tokens, @Nullable String key,
			@Nullable String text) {
		int length = Optional.ofNullable(tokens).orElse(0);
		this.world.call(name, vm, request(name, entry, length, key, text), length);
	}

	@When("^(\\d+) callers (\\S+) send (\\w+) to all routers(?: for (\\d+) tokens)?( with a key each)?$")
	public void sendMany(int count, String name, String entry, @Nullable Integer tokens, @Nullable String keyed) {
		int length = Optional.ofNullable(tokens).orElse(0);
		RouterHandle[] routers = this.world.fleet().liveRouters().toArray(RouterHandle[]::new);
		for (int index = 0; index < count; index++) {
			String caller = name + "-" + index;
			String key = (keyed != null) ? caller : null;
			this.world.call(caller, routers[index % routers.length].vm(), request(caller, entry, length, key, null),
					length);
		}
	}

	@When("^caller (\\S+) asks (engine-\\d+|service-\\d+) itself for (\\d+) tokens$")
	public void sendToTarget(String name, String target, int tokens) {
		String entry = target.startsWith("engine") ? "chat" : "status";
		this.world.callTarget(name, target, request(name, entry, tokens, null, null), tokens);
	}

	@When("caller {word} has received {int} bytes")
	public void awaitBytes(String name, int bytes) throws FleetException {
		RecordedCall call = this.world.recorded(name);
		Waiting.until(name + " has received " + bytes + " bytes",
				() -> call.receivedBytes().get() >= bytes || call.ended().isPresent());
	}

	@When("key {word} is being executed")
	public void awaitExecution(String key) throws FleetException {
		Waiting.until(key + " has been started by a target",
				() -> this.world.journal().stream().anyMatch((row) -> row.idempotencyKey().equals(key)));
	}

	@When("caller {word} has ended")
	public void awaitEnd(String name) throws FleetException {
		this.world.result(name);
	}

	@When("callers {word} have ended")
	public void awaitAnswers(String prefix) throws FleetException {
		for (RecordedCall call : this.world.recordedWithPrefix(prefix)) {
			Waiting.get(call.name(), call.result());
		}
	}

	@When("all callers have ended")
	public void awaitAll() throws FleetException {
		for (RecordedCall call : this.world.recordedWithPrefix("")) {
			Waiting.get(call.name(), call.result());
		}
	}

	private static CallRequest request(String name, String entry, int tokens, @Nullable String key,
			@Nullable String text) {
		String body = Optional.ofNullable(text).orElse("text of " + Optional.ofNullable(key).orElse(name));
		CallRequest request = CallRequest.ofTokens(entry, tokens, body);
		return (key != null) ? request.withKey(key) : request;
	}

}
