package org.mustardlane.proof.scenario;

import java.util.List;

import io.cucumber.java.en.Then;

import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.caller.RecordedCall;
import org.mustardlane.proof.caller.ResponseChecker;
import org.mustardlane.proof.caller.ResponseVerdict;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.standin.target.JournalRow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Steps that check the responses of callers and the journals of targets.
 */
public class ExpectationSteps {

	private final ScenarioContext context;

	/**
	 * Creates the steps.
	 * @param context the fleet and the calls of the scenario
	 */
	public ExpectationSteps(ScenarioContext context) {
		this.context = context;
	}

	@Then("expect caller(s) {word} answered")
	public void expectAnswered(String namePrefix) throws FleetException {
		for (RecordedCall call : requireCalls(namePrefix)) {
			CallResult result = this.context.awaitResult(call.name());
			assertTrue(result.isAnswered(), call.name() + ": " + result.summary());
		}
	}

	@Then("expect caller {word} refused with code {word}")
	public void expectRefused(String name, String code) throws FleetException {
		CallResult result = this.context.awaitResult(name);
		assertTrue(result.isNotRun(), name + ": " + result.summary());
		assertTrue(result.bodyText().contains("\"" + code + "\""), name + ": " + result.summary());
	}

	@Then("expect caller(s) {word} not run")
	public void expectNotRun(String namePrefix) throws FleetException {
		for (RecordedCall call : requireCalls(namePrefix)) {
			CallResult result = this.context.awaitResult(call.name());
			assertTrue(result.isNotRun(), call.name() + ": " + result.summary());
			assertTrue(result.header("retry-after").isPresent(), call.name() + ": " + result.summary());
		}
	}

	@Then("expect caller {word} to get outcome unknown")
	public void expectUnknown(String name) throws FleetException {
		CallResult result = this.context.awaitResult(name);
		assertTrue(result.isUnknown(), name + ": " + result.summary());
	}

	@Then("expect caller(s) {word} not answered")
	public void expectNotAnswered(String namePrefix) throws FleetException {
		for (RecordedCall call : requireCalls(namePrefix)) {
			CallResult result = this.context.awaitResult(call.name());
			assertFalse(result.isAnswered(), call.name() + ": " + result.summary());
		}
	}

	@Then("expect caller(s) {word} answered or not run")
	public void expectAnsweredOrNotRun(String namePrefix) throws FleetException {
		for (RecordedCall call : requireCalls(namePrefix)) {
			CallResult result = this.context.awaitResult(call.name());
			assertTrue(result.isAnswered() || result.isNotRun(), call.name() + ": " + result.summary());
		}
	}

	@Then("expect the response bytes of caller {word} to be {word}")
	public void expectBytes(String name, String verdict) throws FleetException {
		RecordedCall call = this.context.recordedCall(name);
		CallResult result = this.context.awaitResult(name);
		assertEquals(ResponseChecker.check(call.request().body(), call.tokens(), result.body()),
				ResponseVerdict.valueOf(verdict), result.bodyText());
	}

	@Then("expect key {word} executed {int} time(s)")
	public void expectExecutions(String key, int times) throws FleetException {
		long executions = this.context.readJournals()
			.stream()
			.filter((row) -> row.idempotencyKey().equals(key))
			.count();
		assertEquals(executions, times, key);
	}

	@Then("expect {word} to have started no request of callers {word}")
	public void expectNoStartedRequest(String target, String namePrefix) throws FleetException {
		List<String> digests = requireCalls(namePrefix).stream().map(RecordedCall::bodyDigest).toList();
		List<JournalRow> startedRows = this.context.fleet()
			.standinClient()
			.readJournal(this.context.fleet().targets().target(target).url())
			.stream()
			.filter((row) -> digests.contains(row.bodyDigest()))
			.toList();
		assertTrue(startedRows.isEmpty(), startedRows.toString());
	}

	private List<RecordedCall> requireCalls(String namePrefix) {
		List<RecordedCall> calls = this.context.callsWithPrefix(namePrefix);
		assertFalse(calls.isEmpty(), "no caller has a name that starts with " + namePrefix);
		return calls;
	}

}
