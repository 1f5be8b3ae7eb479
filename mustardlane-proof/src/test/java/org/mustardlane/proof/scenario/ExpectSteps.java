package org.mustardlane.proof.scenario;

import java.util.List;

import io.cucumber.java.en.Then;

import org.mustardlane.proof.caller.AnswerChecker;
import org.mustardlane.proof.caller.AnswerVerdict;
import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.caller.RecordedCall;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.standin.target.JournalRow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Steps that check the responses of callers and the journals of targets.
 */
public class ExpectSteps {

	private final World world;

	/**
	 * Creates the steps.
	 * @param world the fleet and the calls of the scenario
	 */
	public ExpectSteps(World world) {
		this.world = world;
	}

	@Then("expect caller(s) {word} answered")
	public void expectAnswered(String prefix) throws FleetException {
		for (RecordedCall call : some(prefix)) {
			CallResult result = this.world.result(call.name());
			assertTrue(result.isAnswered(), call.name() + ": " + result.summary());
		}
	}

	@Then("expect caller {word} refused with code {word}")
	public void expectRefused(String name, String code) throws FleetException {
		CallResult result = this.world.result(name);
		assertTrue(result.isNotRun(), name + ": " + result.summary());
		assertTrue(result.text().contains("\"" + code + "\""), name + ": " + result.summary());
	}

	@Then("expect caller(s) {word} not run")
	public void expectNotRun(String prefix) throws FleetException {
		for (RecordedCall call : some(prefix)) {
			CallResult result = this.world.result(call.name());
			assertTrue(result.isNotRun(), call.name() + ": " + result.summary());
			assertTrue(result.header("retry-after").isPresent(), call.name() + ": " + result.summary());
		}
	}

	@Then("expect caller {word} told unknown")
	public void expectUnknown(String name) throws FleetException {
		CallResult result = this.world.result(name);
		assertTrue(result.isUnknown(), name + ": " + result.summary());
	}

	@Then("expect caller(s) {word} not answered")
	public void expectNotAnswered(String prefix) throws FleetException {
		for (RecordedCall call : some(prefix)) {
			CallResult result = this.world.result(call.name());
			assertFalse(result.isAnswered(), call.name() + ": " + result.summary());
		}
	}

	@Then("expect caller(s) {word} answered or not run")
	public void expectAnsweredOrNotRun(String prefix) throws FleetException {
		for (RecordedCall call : some(prefix)) {
			CallResult result = this.world.result(call.name());
			assertTrue(result.isAnswered() || result.isNotRun(), call.name() + ": " + result.summary());
		}
	}

	@Then("expect the bytes of caller {word} {word}")
	public void expectBytes(String name, String verdict) throws FleetException {
		RecordedCall call = this.world.recorded(name);
		CallResult result = this.world.result(name);
		assertEquals(AnswerChecker.check(call.request().body(), call.tokens(), result.body()),
				AnswerVerdict.valueOf(verdict), result.text());
	}

	@Then("expect key {word} executed {int} time(s)")
	public void expectExecutions(String key, int times) throws FleetException {
		long executions = this.world.journal().stream().filter((row) -> row.idempotencyKey().equals(key)).count();
		assertEquals(executions, times, key);
	}

	@Then("expect {word} to have started nothing since callers {word}")
	public void expectIdle(String target, String prefix) throws FleetException {
		List<String> digests = some(prefix).stream().map(RecordedCall::bodyDigest).toList();
		List<JournalRow> late = this.world.fleet()
			.control()
			.journal(this.world.fleet().targets().get(target).url())
			.stream()
			.filter((row) -> digests.contains(row.bodyDigest()))
			.toList();
		assertTrue(late.isEmpty(), late.toString());
	}

	private List<RecordedCall> some(String prefix) {
		List<RecordedCall> calls = this.world.recordedWithPrefix(prefix);
		assertFalse(calls.isEmpty(), "no caller has a name that starts with " + prefix);
		return calls;
	}

}
