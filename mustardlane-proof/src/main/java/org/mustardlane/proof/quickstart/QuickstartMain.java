package org.mustardlane.proof.quickstart;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.proof.caller.CallRequest;
import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.caller.Caller;
import org.mustardlane.proof.caller.ResponseChecker;
import org.mustardlane.proof.fleet.Fleet;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.FleetSettings;
import org.mustardlane.proof.fleet.OperatorCli;
import org.mustardlane.proof.fleet.RouterHandle;
import org.mustardlane.proof.fleet.WaitUtils;
import org.mustardlane.standin.target.JournalRow;

/**
 * Demonstrates a small fleet: a chat, an at-most-once request, a killed router and the
 * timeline.
 */
public final class QuickstartMain {

	private static final int CHAT_TOKENS = 24;

	private static final int LONG_CHAT_TOKENS = 400;

	private static final int KILL_AFTER_BYTES = 400;

	private static final int MAX_RETRIES = 3;

	private final Fleet fleet;

	private final Caller caller;

	private final PrintStream out;

	private QuickstartMain(Fleet fleet, Caller caller, PrintStream out) {
		this.fleet = fleet;
		this.caller = caller;
		this.out = out;
	}

	/**
	 * Runs the demonstration and exits with 0 if all steps succeed.
	 * @param args ignored
	 */
	public static void main(String[] args) {
		System.out.println("Starting the platform, 8 engines, 3 replicas of a plain service and 3 routers ...");
		boolean isSuccessful = false;
		try (Fleet fleet = Fleet.startWithoutRouters(FleetSettings.SMALL); Caller caller = new Caller()) {
			fleet.startRouters();
			isSuccessful = new QuickstartMain(fleet, caller, System.out).run();
		}
		catch (FleetException ex) {
			System.err.println("quickstart: " + ex.getMessage());
		}
		System.out.println("All processes have been stopped.");
		System.exit(isSuccessful ? 0 : 1);
	}

	private boolean run() throws FleetException {
		this.fleet.runningRouters()
			.forEach((router) -> this.out.printf("  %s in %s: callers %s, metrics %s%n", router.vm(), router.domain(),
					router.url(), router.metricsUrl()));
		boolean isSuccessful = publishCatalogue();
		isSuccessful &= showChat();
		isSuccessful &= showRelease();
		isSuccessful &= showKill();
		isSuccessful &= showTimeline();
		return isSuccessful;
	}

	private boolean publishCatalogue() throws FleetException {
		printTitle("mustardlane catalogue publish, then status");
		Path file = this.fleet.logDirectory().resolve("catalogue.yaml");
		try {
			Files.writeString(file, this.fleet.initialCatalogue());
		}
		catch (IOException ex) {
			throw new FleetException("cannot write the catalogue file", ex);
		}
		OperatorCli operatorCli = new OperatorCli(this.fleet.runningRouters());
		int exitCode = operatorCli.run(List.of("catalogue", "publish", file.toString(), "--author", "quickstart"));
		operatorCli.run(List.of("status"));
		return exitCode == 0;
	}

	private boolean showChat() throws FleetException {
		printTitle("A streamed chat");
		CallRequest request = CallRequest.forTokens("chat", CHAT_TOKENS, "How moist is tray 7?").inChat("chat-1");
		CallResult result = WaitUtils.awaitResult("chat", this.caller.call(router("vm-1").url(), request));
		this.out.println(result.bodyText());
		this.out.printf("%s; first byte after %d us, complete after %d us%n", result.summary(),
				result.timeToFirstByteMicros(), result.durationMicros());
		this.out.println("The response is " + ResponseChecker.check(request.body(), CHAT_TOKENS, result.body()));
		return result.isAnswered();
	}

	private boolean showRelease() throws FleetException {
		printTitle("A lot release, executed at most once, and the same request again on another router");
		CallRequest request = CallRequest.forTokens("release", 0, "lot 1").withIdempotencyKey("lot-1");
		CallResult first = WaitUtils.awaitResult("release", this.caller.call(router("vm-1").url(), request));
		this.out.println("vm-1: " + first.summary() + " " + first.bodyText());
		CallResult second = WaitUtils.awaitResult("release", this.caller.call(router("vm-2").url(), request));
		this.out.println("vm-2: " + second.summary() + " " + second.bodyText());
		return first.isAnswered() && showExecutions("lot-1") == 1;
	}

	private boolean showKill() throws FleetException {
		printTitle("kill -9 of vm-1 while it streams a chat and waits for a release");
		CallRequest chat = CallRequest.forTokens("chat", LONG_CHAT_TOKENS, "A long answer").inChat("chat-2");
		CallRequest release = CallRequest.forTokens("release", 0, "lot 2").withIdempotencyKey("lot-2");
		this.fleet.targets().setFaultsOfKind(TargetKind.SERVICE, "{\"slowFactor\":200}");
		CompletableFuture<Void> chatStarted = new CompletableFuture<>();
		CompletableFuture<CallResult> chatResult = this.caller.call(router("vm-1").url(), chat, (bytes) -> {
			if (bytes > KILL_AFTER_BYTES) {
				chatStarted.complete(null);
			}
		});
		CompletableFuture<CallResult> releaseResult = this.caller.call(router("vm-1").url(), release);
		chatResult.thenRun(() -> chatStarted.complete(null));
		WaitUtils.awaitResult("start of the chat response", chatStarted);
		WaitUtils.awaitCondition("the release of lot 2 has started", () -> countExecutions("lot-2") > 0);
		this.fleet.killRouter("vm-1");
		showInterruptedChat(chat, WaitUtils.awaitResult("chat", chatResult));
		this.out
			.println("Result of the release of lot 2: " + WaitUtils.awaitResult("release", releaseResult).summary());
		CallResult retriedChat = WaitUtils.awaitResult("chat", this.caller.call(router("vm-2").url(), chat));
		this.out.println(
				"Retry of the chat on vm-2: " + ResponseChecker.check(chat.body(), LONG_CHAT_TOKENS, retriedChat.body())
						+ ", " + retriedChat.status());
		retryUntilStarted(release);
		this.fleet.targets().setFaultsOfKind(TargetKind.SERVICE, "{}");
		return showExecutions("lot-2") == 1 && retriedChat.isAnswered();
	}

	private void retryUntilStarted(CallRequest release) throws FleetException {
		for (int attempt = 1; attempt <= MAX_RETRIES; attempt++) {
			CallResult retried = WaitUtils.awaitResult("release", this.caller.call(router("vm-2").url(), release));
			this.out.printf("Retry of lot 2 with the same key on vm-2: %s %s%n", retried.summary(),
					retried.isAnswered() ? retried.bodyText() : "");
			if (!retried.isNotRun()) {
				return;
			}
			WaitUtils.sleep(retried.header("x-retry-after-millis").map(Long::parseLong).orElse(0L));
		}
	}

	private void showInterruptedChat(CallRequest chat, CallResult interrupted) {
		this.out.printf("The chat caller received %d bytes, then: %s (check of the bytes: %s)%n",
				interrupted.body().length, interrupted.error().orElse("the regular end"),
				ResponseChecker.check(chat.body(), LONG_CHAT_TOKENS, interrupted.body()));
	}

	private boolean showTimeline() throws FleetException {
		printTitle("mustardlane timeline, merged from the running routers");
		OperatorCli operatorCli = new OperatorCli(this.fleet.runningRouters());
		Path file = this.fleet.logDirectory().resolve("timeline.html");
		int exitCode = operatorCli.run(List.of("timeline"));
		operatorCli.run(List.of("timeline", "--html", file.toString()));
		return exitCode == 0;
	}

	private long showExecutions(String key) throws FleetException {
		long executions = countExecutions(key);
		this.out.printf("The journals of the plain service record %d execution(s) of %s.%n", executions, key);
		return executions;
	}

	private long countExecutions(String key) throws FleetException {
		return this.fleet.targets()
			.readJournals(TargetKind.SERVICE)
			.stream()
			.map(JournalRow::idempotencyKey)
			.filter(key::equals)
			.count();
	}

	private RouterHandle router(String vm) {
		return this.fleet.router(vm);
	}

	private void printTitle(String text) {
		this.out.printf("%n== %s%n", text);
	}

}
