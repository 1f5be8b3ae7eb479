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
import org.mustardlane.proof.fleet.RevisionWatch;
import org.mustardlane.proof.fleet.RouterHandle;
import org.mustardlane.proof.fleet.Waiting;
import org.mustardlane.protocol.PublishAnswer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Steps that publish catalogue changes and check the catalogue revisions.
 */
public class CatalogueSteps {

	private final World world;

	private final Map<String, CompletableFuture<PublishAnswer>> publishes = new LinkedHashMap<>();

	private Optional<RevisionWatch> watch = Optional.empty();

	/**
	 * Creates the steps.
	 * @param world the fleet and the calls of the scenario
	 */
	public CatalogueSteps(World world) {
		this.world = world;
	}

	@When("all revisions are watched")
	public void watchRevisions() {
		this.watch = Optional.of(new RevisionWatch(this.world.fleet()));
	}

	@When("operator {word} changes entry {word} to a limit of {int} ms through {word}")
	public void publish(String operator, String entry, int limitMillis, String vm) {
		RouterHandle router = this.world.fleet().router(vm);
		String yaml = CatalogueYaml.statusEntry(entry, limitMillis, this.world.fleet().firstRevision());
		this.publishes.put(operator, CompletableFuture.supplyAsync(() -> {
			try (OperatorClient client = new OperatorClient(router.operatorPort())) {
				return client.publish(operator + "-" + System.nanoTime(), yaml);
			}
			catch (FleetException ex) {
				throw new CompletionException(ex);
			}
		}));
	}

	@Then("expect operator {word} told {word}")
	public void expectVerdict(String operator, String verdict) throws FleetException {
		PublishAnswer answer = answer(operator);
		assertEquals(answer.getVerdict().name(), verdict, answer.toString());
	}

	@Then("expect one of operators {word} and {word} accepted and the other told of the winner")
	public void expectRace(String one, String other) throws FleetException {
		List<PublishAnswer> answers = List.of(answer(one), answer(other));
		PublishAnswer winner = only(answers, PublishAnswer.Verdict.ACCEPTED);
		PublishAnswer loser = only(answers, PublishAnswer.Verdict.LOST_RACE);
		assertEquals(loser.getWinnerRevision(), winner.getRevision(), answers.toString());
	}

	@Then("expect the change of operator {word} in force on all routers")
	public void expectInForce(String operator) throws FleetException {
		this.world.fleet().awaitRevision(answer(operator).getRevision());
	}

	@Then("expect the change of operator {word} in force on all routers within {int} ms")
	public void expectInForce(String operator, int millis) throws FleetException {
		long revision = answer(operator).getRevision();
		long startMillis = System.currentTimeMillis();
		this.world.fleet().awaitRevision(revision);
		long took = System.currentTimeMillis() - startMillis;
		assertTrue(took <= millis, "the change was in force after " + took + " ms");
	}

	@Then("expect {word} to show the revision of the others")
	public void expectSameRevision(String vm) throws FleetException {
		long highest = 0;
		for (RouterHandle router : this.world.fleet().liveRouters()) {
			try (OperatorClient client = new OperatorClient(router.operatorPort())) {
				highest = Math.max(highest, client.status().getCatalogueRevision());
			}
		}
		this.world.fleet().awaitRevision(this.world.fleet().router(vm), highest);
	}

	/**
	 * Checks that the catalogue revision of no router has decreased.
	 */
	@After(order = 20_000)
	public void checkRevisions() {
		this.watch.ifPresent((watching) -> {
			watching.close();
			assertEquals(watching.reversions(), List.of());
		});
	}

	private PublishAnswer answer(String operator) throws FleetException {
		return Waiting.get("publish of " + operator, this.publishes.get(operator));
	}

	private static PublishAnswer only(List<PublishAnswer> answers, PublishAnswer.Verdict verdict) {
		List<PublishAnswer> fitting = answers.stream().filter((answer) -> answer.getVerdict() == verdict).toList();
		assertEquals(fitting.size(), 1, answers.toString());
		return fitting.get(0);
	}

}
