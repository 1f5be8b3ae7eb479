package org.mustardlane.core.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.TargetId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of finding the part of a prompt that crashes engines.
 */
public class CrashEvidenceTests {

	private static final long LONG_AFTER_MILLIS = 100_000;

	private CrashEvidence evidence;

	private int requestCount;

	@BeforeMethod
	public void setUp() {
		this.evidence = new CrashEvidence();
	}

	private static List<CallFeature> parts(String text) {
		return Stream.of(text.split(" ")).map(CallFeature::new).toList();
	}

	private static Optional<Set<CallFeature>> cause(String text) {
		return Optional.of(parts(text).stream().collect(Collectors.toSet()));
	}

	private LostCall lose(String target, String partsText, long atMillis) {
		long sentAtMillis = atMillis - 500;
		LostCall call = new LostCall(new TargetId(target), "r-" + this.requestCount++, parts(partsText), List.of(),
				false, sentAtMillis, atMillis);
		assertTrue(this.evidence.addLostCall(call, atMillis));
		return call;
	}

	private boolean start(String target, String partsText, long atMillis) {
		return this.evidence.recordStart(new StartedResponse(new TargetId(target), parts(partsText), atMillis));
	}

	private void startOthers(long atMillis) {
		for (int response = 0; response < 5; response++) {
			start("t-other", "other" + response, atMillis);
		}
	}

	private Optional<Set<CallFeature>> findCause(Quarantine... quarantines) {
		return this.evidence.findCause(List.of(quarantines), LONG_AFTER_MILLIS);
	}

	@Test
	public void partOfThreeCrashesIsTheCauseWhenItsOtherPartsHaveBegunElsewhere() {
		lose("t-1", "common dead x", 1000);
		lose("t-2", "common dead y", 3000);
		startOthers(3500);
		assertEquals(findCause(), Optional.empty());
		lose("t-3", "common dead x", 5000);
		start("t-4", "common x", 5500);
		assertEquals(findCause(), cause("dead"));
	}

	@Test
	public void partsThatAlwaysOccurTogetherAreQuarantinedOnlyTogether() {
		lose("t-1", "common dead x", 1000);
		lose("t-2", "common dead y", 3000);
		lose("t-3", "common dead z", 5000);
		startOthers(5500);
		assertEquals(findCause(), cause("common dead"));
	}

	@Test
	public void oneMoreCrashNarrowsAQuarantineThatWasTooSpecific() {
		lose("t-1", "common dead x", 1000);
		lose("t-2", "common dead x", 3000);
		lose("t-3", "common dead x", 5000);
		startOthers(5500);
		Quarantine specific = new Quarantine(findCause().orElseThrow(), LONG_AFTER_MILLIS);
		assertEquals(findCause(specific), Optional.empty());
		lose("t-4", "other dead y", 7000);
		assertEquals(findCause(specific), cause("dead"));
	}

	@Test
	public void soundCallsLostInAnExplainedCrashAreNoCause() {
		lose("t-1", "common dead x", 1000);
		lose("t-2", "common dead y", 3000);
		lose("t-3", "common dead z", 5000);
		lose("t-3", "common sound", 5010);
		startOthers(5500);
		Quarantine quarantine = new Quarantine(findCause().orElseThrow(), LONG_AFTER_MILLIS);
		assertEquals(quarantine.features(), cause("common dead").get());
		assertEquals(findCause(quarantine), Optional.empty());
	}

	@Test
	public void partWhoseAnswerBeganBetweenTheCrashesIsNotTheCause() {
		lose("t-1", "popular", 1000);
		assertTrue(start("t-2", "popular", 1800));
		lose("t-2", "popular", 3000);
		lose("t-3", "popular", 5000);
		startOthers(5500);
		assertEquals(findCause(), Optional.empty());
	}

	@Test
	public void enginesThatCrashTogetherCountOnce() {
		for (int target = 1; target <= 6; target++) {
			lose("t-" + target, "popular", 1000 + target * 20);
		}
		startOthers(1500);
		assertEquals(findCause(), Optional.empty());
	}

	@Test
	public void engineThatAnswersRightAfterTheLossHasNotCrashed() {
		for (int second = 1; second <= 9; second += 2) {
			lose("t-" + second, "unlucky", second * 1000);
			assertTrue(start("t-" + second, "other", second * 1000 + 600));
		}
		assertEquals(findCause(), Optional.empty());
	}

	@Test
	public void reportThatArrivesAfterTheContradictingAnswerIsContradicted() {
		assertFalse(start("t-1", "popular", 1200));
		lose("t-1", "popular", 1000);
		assertEquals(this.evidence.contradictionsSince(0).size(), 1);
	}

	@Test
	public void serviceThatBeginsHardlyAnyAnswerIsNotTheFaultOfThePrompts() {
		lose("t-1", "a", 1000);
		lose("t-2", "a", 3000);
		lose("t-3", "a", 5000);
		start("t-4", "b", 5500);
		assertEquals(findCause(), Optional.empty());
	}

	@Test
	public void quicklyRepeatedCrashesOfSeveralEnginesAreEnough() {
		lose("t-1", "common dead x", 1000);
		lose("t-2", "common dead y", 1200);
		lose("t-3", "common dead z", 1400);
		lose("t-3", "common", 1410);
		startOthers(1500);
		assertEquals(this.evidence.findCause(List.of(), 1701), cause("common dead"));
	}

	@Test
	public void singleTargetThatLosesCallsIsNotTheFaultOfThePrompts() {
		lose("t-1", "a", 1000);
		lose("t-1", "a", 3000);
		lose("t-1", "a", 5000);
		startOthers(5500);
		assertEquals(findCause(), Optional.empty());
	}

	@Test
	public void crashIsJudgedOnlyAfterReportsOfOtherRoutersHadTimeToArrive() {
		lose("t-1", "dead", 1000);
		lose("t-2", "dead", 3000);
		lose("t-3", "dead", 5000);
		startOthers(5050);
		assertEquals(this.evidence.findCause(List.of(), 5100), Optional.empty());
		assertEquals(this.evidence.findCause(List.of(), 5500), cause("dead"));
	}

	@Test
	public void oldCrashesAreNoEvidenceAfterTheEndOfTheirQuarantine() {
		lose("t-1", "dead", 1000);
		lose("t-2", "dead", 3000);
		lose("t-3", "dead", 5000);
		startOthers(5500);
		assertEquals(findCause(), cause("dead"));
		assertEquals(this.evidence.findCause(List.of(), 605_400), Optional.empty());
	}

	private void loseContent(String target, String content, boolean started, long sentAtMillis, long lostAtMillis) {
		LostCall call = new LostCall(new TargetId(target), "r-" + this.requestCount++, List.of(),
				List.of(content(content)), started, sentAtMillis, lostAtMillis);
		assertTrue(this.evidence.addLostCall(call, lostAtMillis));
	}

	private static CallFeature content(String text) {
		return CallFeature.ofContent(RendezvousHash.hash(text));
	}

	private static Optional<Set<CallFeature>> contentCause(String text) {
		return Optional.of(Set.of(content(text)));
	}

	@Test
	public void contentThatIsSentAgainAfterEachOfThreeCloseCrashesIsTheCause() {
		loseContent("t-1", "dead", false, 900, 1000);
		loseContent("t-2", "dead", false, 1000, 1100);
		startOthers(1150);
		assertEquals(findCause(), Optional.empty());
		loseContent("t-3", "dead", false, 1110, 1220);
		startOthers(1300);
		assertEquals(findCause(), contentCause("dead"));
	}

	// Guards against a request that crashes targets and is never recognised, because no
	// other calls are answered in a quiet time (QuietCrash of the review).
	@Test
	public void contentIsTheCauseInAQuietTimeIfNothingElseIsLost() {
		for (int crash = 1; crash <= 3; crash++) {
			assertEquals(findCause(), Optional.empty());
			loseContent("t-" + crash % 2, "dead", false, crash * 2000 - 50, crash * 2000);
		}
		assertEquals(findCause(), contentCause("dead"));
	}

	// Guards against crashes under one call that count as one, because reports of other
	// routers take different times (QuietCrash of the review).
	@Test
	public void crashesUnderOneCallThatWasSentOnCountApart() {
		for (int attempt = 1; attempt <= 3; attempt++) {
			long lostAtMillis = 1000 + attempt * 20;
			LostCall call = new LostCall(new TargetId("t-" + attempt), "r-sent-on", List.of(), List.of(content("dead")),
					false, lostAtMillis - 25, lostAtMillis);
			assertTrue(this.evidence.addLostCall(call, lostAtMillis));
		}
		startOthers(1500);
		assertEquals(findCause(), contentCause("dead"));
	}

	@Test
	public void contentIsNoCauseInAQuietTimeIfOtherCallsAreLostWithIt() {
		for (int crash = 1; crash <= 6; crash++) {
			loseContent("t-" + crash % 3, "repeated", false, crash * 2000 - 50, crash * 2000);
			loseContent("t-" + crash % 3, "other " + crash, false, crash * 2000 - 50, crash * 2000);
		}
		assertEquals(findCause(), Optional.empty());
	}

	@Test
	public void contentThatIsLostWithOneTargetOnlyIsNoCause() {
		for (int crash = 1; crash <= 6; crash++) {
			loseContent("t-1", "repeated", false, crash * 2000 - 50, crash * 2000);
		}
		assertEquals(findCause(), Optional.empty());
	}

	@Test
	public void contentOfCallsThatWaitAtTargetsThatCrashTogetherIsNoCause() {
		for (int target = 1; target <= 6; target++) {
			loseContent("t-" + target, "popular", false, 500, 1000 + target * 20);
		}
		startOthers(1500);
		assertEquals(findCause(), Optional.empty());
	}

	@Test
	public void contentWhoseAnswerWasCompleteBetweenTheCrashesIsNoCause() {
		loseContent("t-1", "sound", false, 900, 1000);
		loseContent("t-2", "sound", false, 2900, 3000);
		this.evidence.recordStart(new StartedResponse(new TargetId("t-4"), List.of(content("sound")), 3500));
		loseContent("t-3", "sound", false, 4900, 5000);
		startOthers(5500);
		assertEquals(findCause(), Optional.empty());
	}

	@Test
	public void callThatACrashingOneTakesAlongIsNoCause() {
		loseContent("t-1", "dead", false, 900, 1000);
		loseContent("t-1", "sound", true, 100, 1005);
		loseContent("t-2", "dead", false, 1900, 2000);
		loseContent("t-2", "sound", true, 1005, 2005);
		loseContent("t-3", "dead", false, 2900, 3000);
		loseContent("t-3", "sound", false, 2005, 3005);
		startOthers(3500);
		assertEquals(findCause(), contentCause("dead"));
		Quarantine quarantine = new Quarantine(findCause().orElseThrow(), LONG_AFTER_MILLIS);
		assertEquals(findCause(quarantine), Optional.empty());
	}

	@Test
	public void oneMoreCrashTellsACrashingCallFromOneThatWaitsWithIt() {
		for (int crash = 1; crash <= 3; crash++) {
			loseContent("t-" + crash, "dead", false, crash * 1000 - 100, crash * 1000);
			loseContent("t-" + crash, "waiting", false, crash * 1000 - 200, crash * 1000);
		}
		startOthers(3500);
		assertEquals(findCause(), Optional.empty());
		loseContent("t-4", "dead", false, 3900, 4000);
		assertEquals(findCause(), contentCause("dead"));
	}

	@Test
	public void contentThatCrashesTargetsAfterItsResponseHasStartedIsTheCause() {
		for (int crash = 1; crash <= 3; crash++) {
			loseContent("t-" + crash, "dead", true, crash * 1000 - 100, crash * 1000);
		}
		startOthers(3500);
		assertEquals(findCause(), contentCause("dead"));
	}

	@Test
	public void startedCallsThatTheSameCrashesHaveEndedAreNoCause() {
		for (int crash = 1; crash <= 3; crash++) {
			loseContent("t-" + crash, "long", true, crash * 1000 - 100, crash * 1000);
			loseContent("t-" + crash, "longer", true, crash * 1000 - 200, crash * 1000);
		}
		startOthers(3500);
		assertEquals(findCause(), Optional.empty());
	}

	@Test
	public void contentWithItsPromptIsRefusedRatherThanAllCallsThatDifferInTheirPromptsOnly() {
		for (int crash = 1; crash <= 3; crash++) {
			loseContentWithPrompt("t-" + crash, "dead", crash * 1000);
			loseContentWithPrompt("t-" + crash, "sound" + crash, crash * 1000);
		}
		loseContentWithPrompt("t-9", "sound9", 4000);
		startOthers(4500);
		assertEquals(findCause(), Optional.of(Set.of(content("same"), content("same dead"))));
	}

	private void loseContentWithPrompt(String target, String prompt, long lostAtMillis) {
		LostCall call = new LostCall(new TargetId(target), "r-" + this.requestCount++, List.of(),
				List.of(content("same"), content("same " + prompt)), false, lostAtMillis - 100, lostAtMillis);
		assertTrue(this.evidence.addLostCall(call, lostAtMillis));
	}

	@Test
	public void contentIsRefusedRatherThanAPartThatOtherPromptsShare() {
		for (int crash = 1; crash <= 3; crash++) {
			assertTrue(this.evidence.addLostCall(new LostCall(new TargetId("t-" + crash), "r-" + crash, parts("common"),
					List.of(content("dead")), false, crash * 1000 - 100, crash * 1000), crash * 1000));
		}
		startOthers(3500);
		assertEquals(findCause(), contentCause("dead"));
	}

	@Test
	public void repeatedReportIsNotNew() {
		LostCall call = lose("t-1", "dead", 1000);
		assertFalse(this.evidence.addLostCall(call, 1500));
		assertFalse(this.evidence.addLostCall(new LostCall(call.target(), "r", List.of(), List.of(), false, 1000, 1000),
				1500));
		assertEquals(this.evidence.lostCallsLearntAfter(999), List.of(call));
		assertEquals(this.evidence.lostCallsLearntAfter(1000), List.of());
	}

	@Test
	public void numberOfSharedCallsIsLimitedAndTheNewestAreShared() {
		LostCall newest = lose("t-0", "a", 1000);
		for (int call = 1; call < 300; call++) {
			newest = lose("t-" + call, "a", 1000 + call);
		}
		List<LostCall> shared = this.evidence.lostCallsLearntAfter(0);
		assertEquals(shared.size(), 64);
		assertEquals(shared.get(63), newest);
	}

}
