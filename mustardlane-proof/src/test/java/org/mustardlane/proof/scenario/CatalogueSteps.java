package org.mustardlane.proof.scenario;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.cucumber.java.After;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import org.mustardlane.proof.fleet.CatalogueYaml;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.OperatorClient;
import org.mustardlane.proof.fleet.RevisionMonitor;
import org.mustardlane.proof.fleet.RouterHandle;
import org.mustardlane.proof.fleet.WaitUtils;
import org.mustardlane.protocol.PublishAnswer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Steps that publish catalogue changes and check the catalogue revisions.
 */
public class CatalogueSteps {

	private final ScenarioContext context;

	private final Map<String, CompletableFuture<PublishAnswer>> publishReplies = new LinkedHashMap<>();

	private Optional<RevisionMonitor> monitor = Optional.empty();

	/**
	 * Creates the steps.
	 * @param context the fleet and the calls of the scenario
	 */
	public CatalogueSteps(ScenarioContext context) {
		this.context = context;
	}

	@When("the catalogue revisions of all routers are monitored")
	public void monitorRevisions() {
		this.monitor = Optional.of(new RevisionMonitor(this.context.fleet()));
	}

	@When("operator {word} changes entry {word} to a limit of {int} ms through {word}")
	public void publish(String operator, String entry, int limitMillis, String vm) {
		RouterHandle router = this.context.fleet().router(vm);
		String yaml = CatalogueYaml.entryChange(entry, limitMillis, this.context.fleet().initialRevision());
		this.publishReplies.put(operator, CompletableFuture.supplyAsync(() -> {
			try (OperatorClient client = new OperatorClient(router.operatorPort())) {
				return client.publish(operator + "-" + System.nanoTime(), yaml);
			}
			catch (FleetException ex) {
				throw new CompletionException(ex);
			}
		}));
	}

	@Then("expect operator {word} to get verdict {word}")
	public void expectVerdict(String operator, String verdict) throws FleetException {
		PublishAnswer reply = awaitReply(operator);
		assertEquals(reply.getVerdict().name(), verdict, reply.toString());
	}

	@Then("expect one of operators {word} and {word} accepted and the other to get the winning revision")
	public void expectRace(String operator, String otherOperator) throws FleetException {
		List<PublishAnswer> replies = List.of(awaitReply(operator), awaitReply(otherOperator));
		PublishAnswer winner = singleReply(replies, PublishAnswer.Verdict.ACCEPTED);
		PublishAnswer loser = singleReply(replies, PublishAnswer.Verdict.LOST_RACE);
		assertEquals(loser.getWinnerRevision(), winner.getRevision(), replies.toString());
	}

	@Then("expect the change of operator {word} in force on all routers")
	public void expectInForce(String operator) throws FleetException {
		this.context.fleet().awaitRevision(awaitReply(operator).getRevision());
	}

	@Then("expect the change of operator {word} in force on all routers within {int} ms")
	public void expectInForce(String operator, int millis) throws FleetException {
		long revision = awaitReply(operator).getRevision();
		long startMillis = System.currentTimeMillis();
		this.context.fleet().awaitRevision(revision);
		long elapsedMillis = System.currentTimeMillis() - startMillis;
		assertTrue(elapsedMillis <= millis, "the change was in force after " + elapsedMillis + " ms");
	}

	@Then("expect {word} to reach the catalogue revision of the other routers")
	public void expectSameRevision(String vm) throws FleetException {
		long highestRevision = 0;
		for (RouterHandle router : this.context.fleet().runningRouters()) {
			try (OperatorClient client = new OperatorClient(router.operatorPort())) {
				highestRevision = Math.max(highestRevision, client.status().getCatalogueRevision());
			}
		}
		this.context.fleet().awaitRevision(this.context.fleet().router(vm), highestRevision);
	}

	/**
	 * Checks that the catalogue revision of no router has decreased.
	 */
	@After(order = 20_000)
	public void checkRevisions() {
		this.monitor.ifPresent((startedMonitor) -> {
			startedMonitor.close();
			assertEquals(startedMonitor.decreases(), List.of());
		});
	}

	private PublishAnswer awaitReply(String operator) throws FleetException {
		return WaitUtils.awaitResult("publish of " + operator, this.publishReplies.get(operator));
	}

	private static PublishAnswer singleReply(List<PublishAnswer> replies, PublishAnswer.Verdict verdict) {
		List<PublishAnswer> matchingReplies = replies.stream()
			.filter((reply) -> reply.getVerdict() == verdict)
			.toList();
		assertEquals(matchingReplies.size(), 1, replies.toString());
		return matchingReplies.get(0);
	}

}
