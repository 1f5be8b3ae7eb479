package org.mustardlane.proof.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.mustardlane.standin.target.JournalRow;

/**
 * Checks the responses that callers received against the journals of the targets.
 */
public final class OutcomeChecker {

	private static final Set<String> STREAMED_ENTRIES = Set.of("chat", "summary", "triage", "record");

	private static final Set<String> NON_IDEMPOTENT_PATHS = Set.of("/v1/release", "/v1/record");

	private final Collection<RecordedCall> calls;

	private final List<JournalRow> journal;

	private final List<String> violations = new ArrayList<>();

	private OutcomeChecker(Collection<RecordedCall> calls, List<JournalRow> journal) {
		this.calls = calls;
		this.journal = journal;
	}

	/**
	 * Looks for violations of the guarantees for callers: at most one execution per key,
	 * truthful refusals and complete responses.
	 * @param calls the calls, all of which have ended
	 * @param journal the journals of all targets
	 * @return one description for each violation
	 */
	public static List<String> check(Collection<RecordedCall> calls, List<JournalRow> journal) {
		OutcomeChecker checker = new OutcomeChecker(calls, journal);
		checker.checkAtMostOnce();
		checker.checkRefusals();
		checker.calls.forEach(checker::checkResponse);
		return List.copyOf(checker.violations);
	}

	private void checkAtMostOnce() {
		Map<String, List<JournalRow>> executionsByKey = this.journal.stream()
			.filter((row) -> NON_IDEMPOTENT_PATHS.contains(row.path()))
			.collect(Collectors.groupingBy((row) -> row.path() + " " + row.idempotencyKey()));
		executionsByKey.forEach((key, rows) -> {
			if (rows.size() > 1) {
				this.violations.add("executed %d times: %s %s".formatted(rows.size(), key, rows));
			}
		});
	}

	private void checkRefusals() {
		Set<String> startedDigests = this.journal.stream().map(JournalRow::bodyDigest).collect(Collectors.toSet());
		Set<String> possiblyStarted = new HashSet<>();
		for (RecordedCall call : this.calls) {
			if (!endedResult(call).isNotRun()) {
				possiblyStarted.add(call.bodyDigest());
			}
		}
		for (RecordedCall call : this.calls) {
			CallResult result = endedResult(call);
			if (result.isNotRun() && result.header("retry-after").isEmpty()) {
				this.violations.add(call.name() + ": refusal without Retry-After: " + result.summary());
			}
			if (result.isNotRun() && startedDigests.contains(call.bodyDigest())
					&& !possiblyStarted.contains(call.bodyDigest())) {
				this.violations
					.add(call.name() + ": outcome not-run, but a target started the request: " + result.summary());
			}
		}
	}

	private void checkResponse(RecordedCall call) {
		CallResult result = endedResult(call);
		if (result.isAnswered()) {
			String verdict = responseVerdict(call, result);
			if (!verdict.equals(ResponseVerdict.WHOLE.name())) {
				this.violations
					.add(call.name() + ": answered, but the response is " + verdict + ": " + result.bodyText());
			}
		}
		else if (result.status() != 0 && result.error().isEmpty() && result.header("x-outcome").isEmpty()) {
			this.violations.add(call.name() + ": response without an outcome: " + result.summary());
		}
		else if (result.error().isEmpty() && result.header("x-outcome").filter("pending"::equals).isPresent()) {
			this.violations.add(call.name() + ": complete response with a pending outcome: " + result.summary());
		}
		else if (result.status() == 200 && STREAMED_ENTRIES.contains(call.request().entry())
				&& responseVerdict(call, result).equals(ResponseVerdict.FOREIGN.name())) {
			this.violations.add(call.name() + ": incomplete response with foreign bytes: " + result.bodyText());
		}
	}

	private static String responseVerdict(RecordedCall call, CallResult result) {
		if (STREAMED_ENTRIES.contains(call.request().entry())) {
			return ResponseChecker.check(call.request().body(), call.tokens(), result.body()).name();
		}
		String text = new String(result.body(), StandardCharsets.UTF_8);
		boolean isExpectedBody = text.startsWith("{") && text.endsWith("}") && text.contains(call.bodyDigest())
				&& text.contains("\"key\":\"" + call.request().idempotencyKey().orElse("") + "\"");
		return (isExpectedBody ? ResponseVerdict.WHOLE : ResponseVerdict.FOREIGN).name();
	}

	private static CallResult endedResult(RecordedCall call) {
		return call.resultIfEnded().orElseThrow(() -> new IllegalArgumentException(call.name() + " has not ended"));
	}

}
