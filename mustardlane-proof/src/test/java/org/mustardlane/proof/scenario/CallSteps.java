package org.mustardlane.proof.scenario;

import java.util.Optional;

import io.cucumber.java.en.When;
import org.jspecify.annotations.Nullable;

import org.mustardlane.proof.caller.CallRequest;
import org.mustardlane.proof.caller.RecordedCall;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.RouterHandle;
import org.mustardlane.proof.fleet.WaitUtils;

/**
 * Steps that send requests.
 */
public class CallSteps {

	private final ScenarioContext context;

	/**
	 * Creates the steps.
	 * @param context the fleet and the calls of the scenario
	 */
	public CallSteps(ScenarioContext context) {
		this.context = context;
	}

	@When("^caller (\\S+) sends (\\w+) to (vm-\\d+)(?: for (\\d+) tokens)?(?: with key (\\S+))?(?: and text (\\S+))?$")
	public void send(String name, String entry, String vm, @Nullable Integer tokens, @Nullable String key,
			@Nullable String text) {
		int tokenCount = Optional.ofNullable(tokens).orElse(0);
		this.context.sendToRouter(name, vm, request(name, entry, tokenCount, key, text), tokenCount);
	}

	@When("^(\\d+) callers (\\S+) send (\\w+) to all routers(?: for (\\d+) tokens)?( with a key each)?$")
	public void sendMany(int count, String name, String entry, @Nullable Integer tokens, @Nullable String keyed) {
		int tokenCount = Optional.ofNullable(tokens).orElse(0);
		RouterHandle[] routers = this.context.fleet().runningRouters().toArray(RouterHandle[]::new);
		for (int index = 0; index < count; index++) {
			String callerName = name + "-" + index;
			String key = (keyed != null) ? callerName : null;
			this.context.sendToRouter(callerName, routers[index % routers.length].vm(),
					request(callerName, entry, tokenCount, key, null), tokenCount);
		}
	}

	@When("^caller (\\S+) sends a request directly to (engine-\\d+|service-\\d+) for (\\d+) tokens$")
	public void sendToTarget(String name, String target, int tokens) {
		String entry = target.startsWith("engine") ? "chat" : "status";
		this.context.sendToTarget(name, target, request(name, entry, tokens, null, null), tokens);
	}

	@When("caller {word} has received {int} bytes")
	public void awaitBytes(String name, int bytes) throws FleetException {
		RecordedCall call = this.context.recordedCall(name);
		WaitUtils.awaitCondition(name + " has received " + bytes + " bytes",
				() -> call.receivedBytes().get() >= bytes || call.resultIfEnded().isPresent());
	}

	@When("key {word} is being executed")
	public void awaitExecution(String key) throws FleetException {
		WaitUtils.awaitCondition(key + " has been started by a target",
				() -> this.context.readJournals().stream().anyMatch((row) -> row.idempotencyKey().equals(key)));
	}

	@When("caller {word} has ended")
	public void awaitEnd(String name) throws FleetException {
		this.context.awaitResult(name);
	}

	@When("callers {word} have ended")
	public void awaitEndOfCallers(String namePrefix) throws FleetException {
		for (RecordedCall call : this.context.callsWithPrefix(namePrefix)) {
			WaitUtils.awaitResult(call.name(), call.result());
		}
	}

	@When("all callers have ended")
	public void awaitEndOfAllCallers() throws FleetException {
		for (RecordedCall call : this.context.callsWithPrefix("")) {
			WaitUtils.awaitResult(call.name(), call.result());
		}
	}

	private static CallRequest request(String name, String entry, int tokens, @Nullable String key,
			@Nullable String text) {
		String body = Optional.ofNullable(text).orElse("text of " + Optional.ofNullable(key).orElse(name));
		CallRequest request = CallRequest.forTokens(entry, tokens, body);
		return (key != null) ? request.withIdempotencyKey(key) : request;
	}

}
