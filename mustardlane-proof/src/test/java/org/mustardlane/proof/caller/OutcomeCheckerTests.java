package org.mustardlane.proof.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.annotations.Test;

import org.mustardlane.standin.target.JournalRow;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link OutcomeChecker}.
 */
public class OutcomeCheckerTests {

	private static final CallRequest RELEASE = CallRequest.forTokens("release", 0, "lot").withIdempotencyKey("lot-1");

	private static final CallRequest CHAT = CallRequest.forTokens("chat", 9, "chat");

	private static final Map<String, String> NOT_RUN_HEADERS = Map.of("x-outcome", "not-run", "retry-after", "1");

	@Test
	public void detectsKeyExecutedTwice() {
		assertEquals(countViolations(List.of(), List.of(row(RELEASE, 1), row(RELEASE, 2))), 1);
		assertEquals(countViolations(List.of(), List.of(row(RELEASE, 1))), 0);
	}

	@Test
	public void detectsNotRunOutcomeOfStartedRequest() {
		RecordedCall refused = call(RELEASE, 503, NOT_RUN_HEADERS, "");
		assertEquals(countViolations(List.of(refused), List.of(row(RELEASE, 1))), 1);
		assertEquals(countViolations(List.of(refused), List.of()), 0);
	}

	@Test
	public void detectsRefusalWithoutRetryAfter() {
		RecordedCall refused = call(RELEASE, 503, Map.of("x-outcome", "not-run"), "");
		assertEquals(countViolations(List.of(refused), List.of()), 1);
	}

	@Test
	public void detectsTruncatedResponseReportedAsAnswered() {
		RecordedCall answered = call(CHAT, 200, Map.of("x-outcome", "answered"), "0123456789abcdef ");
		assertEquals(countViolations(List.of(answered), List.of(row(CHAT, 1))), 1);
	}

	@Test
	public void detectsResponseToAnotherRequest() {
		RecordedCall answered = call(RELEASE, 200, Map.of("x-outcome", "answered"), "{\"key\":\"lot-2\"}");
		assertEquals(countViolations(List.of(answered), List.of(row(RELEASE, 1))), 1);
	}

	@Test
	public void detectsResponseWithoutOutcome() {
		assertEquals(countViolations(List.of(call(RELEASE, 500, Map.of(), "")), List.of()), 1);
	}

	private static int countViolations(List<RecordedCall> calls, List<JournalRow> journal) {
		return OutcomeChecker.check(calls, journal).size();
	}

	private static RecordedCall call(CallRequest request, int status, Map<String, String> headers, String body) {
		CallResult result = new CallResult(status, headers, body.getBytes(StandardCharsets.UTF_8), Optional.empty(), 0,
				0, 0);
		return new RecordedCall("a call", request, 9, new AtomicInteger(), CompletableFuture.completedFuture(result));
	}

	private static JournalRow row(CallRequest request, long number) {
		String digest = new RecordedCall("", request, 0, new AtomicInteger(), new CompletableFuture<>()).bodyDigest();
		return new JournalRow(number, "r/1", request.idempotencyKey().orElse(""), "", "", "", "/v1/" + request.entry(),
				digest, 0, 1, false, 0, 1, 1, "WHOLE");
	}

}
