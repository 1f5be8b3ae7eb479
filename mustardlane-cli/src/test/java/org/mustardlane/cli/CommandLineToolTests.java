package org.mustardlane.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.protocol.PublishAnswer;
import org.mustardlane.protocol.PublishAnswer.Verdict;
import org.mustardlane.protocol.StatusAnswer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link CommandLineTool} against fake routers with only an operator port.
 */
public class CommandLineToolTests {

	private static final String EXAMPLE_FILE = "../examples/catalogue.yaml";

	private static final String CLOSED_ADDRESS = "127.0.0.1:1";

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private FakeRouter router;

	private FakeRouter secondRouter;

	@BeforeMethod
	public void start() throws IOException {
		this.router = new FakeRouter("vm-1");
		this.secondRouter = new FakeRouter("vm-two");
	}

	@AfterMethod
	public void stop() {
		this.router.close();
		this.secondRouter.close();
	}

	private ExitCode run(String arguments) {
		return run(arguments, Map.of());
	}

	private ExitCode run(String arguments, Map<String, String> variables) {
		this.out.reset();
		this.err.reset();
		String expanded = arguments.replace("@1", this.router.address()).replace("@2", this.secondRouter.address());
		return new CommandLineTool(new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8), variables)
			.run(expanded.isEmpty() ? List.of() : List.of(expanded.split(" ")));
	}

	private String output() {
		return this.out.toString(StandardCharsets.UTF_8);
	}

	private String errors() {
		return this.err.toString(StandardCharsets.UTF_8);
	}

	@DataProvider
	public Object[][] usageErrors() {
		return new Object[][] { { "", "no command is given" }, { "fly", "'fly' is not a command" },
				{ "catalogue", "'catalogue' is not a command" }, { "key --odd", "--odd: unknown flag" },
				{ "key --output", "--output: needs a value" },
				{ "key --output xml", "--output: 'xml' is neither text nor json" },
				{ "key more", "'more': unexpected" }, { "status", "--router: is missing" },
				{ "status --router x", "--router: 'x' is not host:port" },
				{ "status --router h:99999", "--router: 'h:99999' is not host:port" },
				{ "status --router @1 --timeout-millis soon", "'soon' is not a whole number" },
				{ "status --router @1 --timeout-millis 0", "--timeout-millis: must be at least 1" },
				{ "status --router @1 --tls-key k", "give all three or none" },
				{ "status --router @1 --tls-key k --tls-certificate c --tls-trust t", "certificates can not be read" },
				{ "catalogue validate", "FILE: is missing" },
				{ "catalogue validate no/such", "file no/such can not be read" },
				{ "catalogue publish f --router @1", "--author: is missing" },
				{ "catalogue show --router @1 --revision 9", "revision is not kept" },
				{ "catalogue diff --router @1 x", "'x' is not a revision" },
				{ "timeline --router @1 --html /no/such/dir", "can not be written" },
				{ "drain --router @1,@2", "name exactly one router" } };
	}

	@Test(dataProvider = "usageErrors")
	public void reportsUsageError(String arguments, String message) {
		assertEquals(run(arguments), ExitCode.USAGE);
		assertTrue(errors().contains(message), errors());
		assertFalse(errors().contains("\tat ") || errors().contains("Exception:"), errors());
		assertEquals(output(), "");
	}

	@Test
	public void reportsAllUsageErrorsTogether() {
		assertEquals(run("catalogue publish --odd --output xml --timeout-millis no --even --router"), ExitCode.USAGE);
		assertEquals(errors().lines().count(), 8 + 1, errors());
	}

	@Test
	public void waitsUntilAnAcceptedChangeIsInForceOnAllRouters() {
		this.router.publishReply = PublishAnswer.newBuilder().setRevision(7).build();
		this.router.status = statusReply(7, 6);
		this.router.laterStatus = statusReply(7, 7);
		assertEquals(run("catalogue publish " + EXAMPLE_FILE + " --router @1 --author ann"), ExitCode.OK);
		assertTrue(output().matches("accepted at revision 7, in force on 2 of 2 routers after \\d+ ms\n"), output());
		assertTrue(this.router.statusCalls.get() >= 3);
		assertEquals(this.router.published.get(0).getAuthor(), "ann");
	}

	private static StatusAnswer statusReply(long ownRevision, long peerRevision) {
		StatusAnswer.Builder status = StatusAnswer.newBuilder()
			.setVm("vm-1")
			.setDomain("a")
			.setCatalogueRevision(ownRevision);
		status.addPeersBuilder().setVm("vm-9").setAlive(true).setCatalogueRevision(peerRevision);
		status.addPeersBuilder().setVm("vm-0").setAlive(false).setCatalogueRevision(1);
		return status.build();
	}

	@Test
	public void reportsPartialRolloutAfterTimeout() {
		this.router.publishReply = PublishAnswer.newBuilder().setRevision(7).build();
		this.router.status = statusReply(7, 6);
		this.router.laterStatus = statusReply(7, 6);
		assertEquals(run("catalogue publish " + EXAMPLE_FILE + " --router @1 --author ann --timeout-millis 300"),
				ExitCode.PARTIAL);
		assertTrue(output().contains("in force on 1 of 2 routers"), output());
	}

	@DataProvider
	public Object[][] verdicts() {
		return new Object[][] { { Verdict.REJECTED, ExitCode.REJECTED, ":3:9: entries[0].owner: no organisation" },
				{ Verdict.LOST_RACE, ExitCode.LOST_RACE, "lost to revision 6" },
				{ Verdict.UNAVAILABLE, ExitCode.UNAVAILABLE, "not published" },
				{ Verdict.UNKNOWN, ExitCode.UNKNOWN, "--change-id c-1" } };
	}

	@Test(dataProvider = "verdicts")
	public void reportsVerdictOfAChange(Verdict verdict, ExitCode expectedCode, String expectedText)
			throws IOException {
		PublishAnswer.Builder reply = PublishAnswer.newBuilder().setVerdict(verdict).setWinnerRevision(6);
		reply.addFindingsBuilder().setPath("entries[0].owner").setLine(3).setColumn(9).setMessage("no organisation");
		this.router.publishReply = reply.build();
		String arguments = "catalogue publish " + EXAMPLE_FILE + " --router @1 --author ann --change-id c-1";
		assertEquals(run(arguments), expectedCode);
		assertTrue(output().contains(expectedText), output());
		assertEquals(run(arguments + " --output json"), expectedCode);
		JsonNode json = new ObjectMapper().readTree(output());
		assertEquals(json.path("verdict").asText(), verdict.name());
		assertEquals(json.path("findings").path(0).path("column").asInt(), 9);
	}

	@Test
	public void retriesOnTheNextRouterWithTheSameChangeId() {
		this.router.failing = true;
		this.secondRouter.publishReply = PublishAnswer.newBuilder().setVerdict(Verdict.UNAVAILABLE).build();
		assertEquals(run("catalogue publish " + EXAMPLE_FILE + " --router @1 --router @2 --author ann"),
				ExitCode.UNKNOWN);
		assertEquals(this.router.published.get(0).getChangeId(), this.secondRouter.published.get(0).getChangeId());
	}

	@Test
	public void reportsUnknownResultIfTheOnlyCallFails() {
		this.router.failing = true;
		assertEquals(run("catalogue publish " + EXAMPLE_FILE + " --router @1 --author ann --change-id c-1"),
				ExitCode.UNKNOWN);
		assertTrue(errors().contains("publish it again with --change-id c-1"), errors());
	}

	@Test
	public void reportsUnavailableIfNoRouterIsReachable() {
		assertEquals(run("catalogue publish " + EXAMPLE_FILE + " --router " + CLOSED_ADDRESS + " --author ann"),
				ExitCode.UNAVAILABLE);
		assertEquals(run("status --router " + CLOSED_ADDRESS), ExitCode.UNAVAILABLE);
		assertTrue(errors().contains("router 127.0.0.1:1: can not be reached"), errors());
	}

	@Test
	public void showsStatusOfReachableRouters() {
		this.router.status = statusReply(7, 6);
		assertEquals(run("status", Map.of("MUSTARDLANE_ROUTER", this.router.address() + "," + CLOSED_ADDRESS)),
				ExitCode.PARTIAL);
		assertTrue(output().contains("router vm-1 in a") && output().contains("unreachable"), output());
		assertTrue(output().contains("127.0.0.1:1: can not be reached"), output());
		assertEquals(run("status --router @1 --output json"), ExitCode.OK);
		assertTrue(output().contains("\"catalogueRevision\" : 7"), output());
	}

	@Test
	public void showsHistoryDiffAndCatalogue() {
		assertEquals(run("catalogue show --router @1"), ExitCode.OK);
		assertTrue(output().startsWith("entries:"), output());
		assertEquals(run("catalogue history --router @1"), ExitCode.OK);
		assertTrue(output().contains("ACCEPTED  ann"), output());
		assertEquals(run("catalogue diff 3 --router @1"), ExitCode.OK);
		assertEquals(output(), "~ entry e: loadBoundPercent: 110 -> 120\n");
	}

	@Test
	public void drainsOneRouter() {
		assertEquals(run("drain --router @1 --drain-millis 5000"), ExitCode.OK);
		assertTrue(output().contains("is draining, 4 requests in flight"), output());
	}

	@Test
	public void printsTheTimelineOfAllRouters() throws IOException {
		assertEquals(run("timeline --router @2,@1"), ExitCode.OK);
		assertEquals(output().lines().map((line) -> line.split(" +")[1]).toList(), List.of("vm-1", "vm-two"));
		Path html = Files.createTempFile("timeline", ".html");
		assertEquals(run("timeline --router @2,@1 --output json --html " + html), ExitCode.OK);
		assertTrue(Files.readString(html).contains("vm-two"));
		Files.delete(html);
	}

	@Test
	public void validatesWithoutARouter() throws IOException {
		assertEquals(run("catalogue validate " + EXAMPLE_FILE), ExitCode.OK);
		Path invalidFile = Files.createTempFile("change", ".yaml");
		Files.writeString(invalidFile, "entries:\n  - name: x\n");
		assertEquals(run("catalogue validate " + invalidFile), ExitCode.REJECTED);
		assertTrue(output().startsWith(invalidFile + ":2:5: entries[0].owner: is missing\n"), output());
		assertEquals(output().lines().count(), 10);
		Files.delete(invalidFile);
	}

	@Test
	public void printsHelpVersionAndKeys() {
		assertEquals(run("--help"), ExitCode.OK);
		assertTrue(output().contains("exit codes") && output().contains("MUSTARDLANE_ROUTER"));
		assertEquals(run("--version"), ExitCode.OK);
		assertEquals(run("key"), ExitCode.OK);
		assertTrue(output().matches("key:       [\\w-]{43}\nkeyDigest: [0-9a-f]{64}\n"), output());
	}

}
