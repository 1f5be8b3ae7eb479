package org.mustardlane.proof.quickstart;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.proof.caller.AnswerChecker;
import org.mustardlane.proof.caller.CallRequest;
import org.mustardlane.proof.caller.CallResult;
import org.mustardlane.proof.caller.Caller;
import org.mustardlane.proof.fleet.Fleet;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.FleetSettings;
import org.mustardlane.proof.fleet.OperatorTool;
import org.mustardlane.proof.fleet.RouterHandle;
import org.mustardlane.proof.fleet.Waiting;
import org.mustardlane.standin.target.JournalRow;

/**
 * Demonstrates a small fleet: a chat, an at-most-once request, a killed router and the
 * timeline.
 */
public final class QuickstartMain {

	private static final int CHAT_TOKENS = 24;

	private static final int LONG_CHAT_TOKENS = 400;

	private static final int KILL_AFTER_BYTES = 400;

	private static final int RETRIES = 3;

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
		boolean whole = false;
		try (Fleet fleet = Fleet.startWithoutRouters(FleetSettings.SMALL); Caller caller = new Caller()) {
			fleet.startRouters();
			whole = new QuickstartMain(fleet, caller, System.out).run();
		}
		catch (FleetException ex) {
			System.err.println("quickstart: " + ex.getMessage());
		}
		System.out.println("All processes have been stopped.");
		System.exit(whole ? 0 : 1);
	}

	private boolean run() throws FleetException {
		this.fleet.liveRouters()
			.forEach((router) -> this.out.printf("  %s in %s: callers %s, metrics %s%n", router.vm(), router.domain(),
					router.url(), router.metricsUrl()));
		boolean whole = publishCatalogue();
		whole &= showChat();
		whole &= showRelease();
		whole &= showKill();
		whole &= showTimeline();
		return whole;
	}

	private boolean publishCatalogue() throws FleetException {
		title("mustardlane catalogue publish, then status");
		Path file = this.fleet.logDirectory().resolve("catalogue.yaml");
		try {
			Files.writeString(file, this.fleet.catalogue());
		}
		catch (IOException ex) {
			throw new FleetException("cannot write the catalogue file", ex);
		}
		OperatorTool tool = new OperatorTool(this.fleet.liveRouters());
		int code = tool.run(List.of("catalogue", "publish", file.toString(), "--author", "quickstart"));
		tool.run(List.of("status"));
		return code == 0;
	}

	private boolean showChat() throws FleetException {
		title("A streamed chat");
		CallRequest request = CallRequest.ofTokens("chat", CHAT_TOKENS, "How moist is tray 7?").inChat("chat-1");
		CallResult result = Waiting.get("chat", this.caller.call(router("vm-1").url(), request));
		this.out.println(result.text());
		this.out.printf("%s; first byte after %d us, complete after %d us%n", result.summary(),
				result.firstByteMicros(), result.totalMicros());
		this.out.println("The response is " + AnswerChecker.check(request.body(), CHAT_TOKENS, result.body()));
		return result.isAnswered();
	}

	private boolean showRelease() throws FleetException {
		title("A lot release, executed at most once, and the same request again on another router");
		CallRequest request = CallRequest.ofTokens("release", 0, "lot 1").withKey("lot-1");
		CallResult first = Waiting.get("release", this.caller.call(router("vm-1").url(), request));
		this.out.println("vm-1: " + first.summary() + " " + first.text());
		CallResult second = Waiting.get("release", this.caller.call(router("vm-2").url(), request));
		this.out.println("vm-2: " + second.summary() + " " + second.text());
		return first.isAnswered() && showExecutions("lot-1") == 1;
	}

	private boolean showKill() throws FleetException {
		title("kill -9 of vm-1 while it streams a chat and waits for a release");
		CallRequest chat = CallRequest.ofTokens("chat", LONG_CHAT_TOKENS, "A long answer").inChat("chat-2");
		CallRequest release = CallRequest.ofTokens("release", 0, "lot 2").withKey("lot-2");
		this.fleet.targets().allFaults(TargetKind.SERVICE, "{\"slowFactor\":200}");
		CompletableFuture<Void> midFlow = new CompletableFuture<>();
		CompletableFuture<CallResult> chatResult = this.caller.call(router("vm-1").url(), chat, (bytes) -> {
			if (bytes > KILL_AFTER_BYTES) {
				midFlow.complete(null);
			}
		});
		CompletableFuture<CallResult> releaseResult = this.caller.call(router("vm-1").url(), release);
		chatResult.thenRun(() -> midFlow.complete(null));
		Waiting.get("start of the chat response", midFlow);
		Waiting.until("the release of lot 2 has started", () -> executions("lot-2") > 0);
		this.fleet.killRouter("vm-1");
		showBroken(chat, Waiting.get("chat", chatResult));
		this.out.println("Result of the release of lot 2: " + Waiting.get("release", releaseResult).summary());
		CallResult retriedChat = Waiting.get("chat", this.caller.call(router("vm-2").url(), chat));
		this.out.println("Retry of the chat on vm-2: "
				+ AnswerChecker.check(chat.body(), LONG_CHAT_TOKENS, retriedChat.body()) + ", " + retriedChat.status());
		retryUntilRun(release);
		this.fleet.targets().allFaults(TargetKind.SERVICE, "{}");
		return showExecutions("lot-2") == 1 && retriedChat.isAnswered();
	}

	private void retryUntilRun(CallRequest release) throws FleetException {
		for (int attempt = 1; attempt <= RETRIES; attempt++) {
			CallResult retried = Waiting.get("release", this.caller.call(router("vm-2").url(), release));
			this.out.printf("Retry of lot 2 with the same key on vm-2: %s %s%n", retried.summary(),
					retried.isAnswered() ? retried.text() : "");
			if (!retried.isNotRun()) {
				return;
			}
			Waiting.pause(retried.header("x-retry-after-millis").map(Long::parseLong).orElse(0L));
		}
	}

	private void showBroken(CallRequest chat, CallResult broken) {
		this.out.printf("The chat caller received %d bytes, then: %s (check of the bytes: %s)%n", broken.body().length,
				broken.error().orElse("the regular end"),
				AnswerChecker.check(chat.body(), LONG_CHAT_TOKENS, broken.body()));
	}

	private boolean showTimeline() throws FleetException {
		title("mustardlane timeline, merged from the running routers");
		OperatorTool tool = new OperatorTool(this.fleet.liveRouters());
		Path file = this.fleet.logDirectory().resolve("timeline.html");
		int code = tool.run(List.of("timeline"));
		tool.run(List.of("timeline", "--html", file.toString()));
		return code == 0;
	}

	private long showExecutions(String key) throws FleetException {
		long executions = executions(key);
		this.out.printf("The journals of the plain service record %d execution(s) of %s.%n", executions, key);
		return executions;
	}

	private long executions(String key) throws FleetException {
		return this.fleet.targets()
			.journals(TargetKind.SERVICE)
			.stream()
			.map(JournalRow::idempotencyKey)
			.filter(key::equals)
			.count();
	}

	private RouterHandle router(String vm) {
		return this.fleet.router(vm);
	}

	private void title(String text) {
		this.out.printf("%n== %s%n", text);
	}

}
