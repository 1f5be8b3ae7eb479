package org.mustardlane.core.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.mustardlane.core.model.common.PromptPartId;
import org.mustardlane.core.model.common.TargetId;

/**
 * Collects the calls that were lost with their engines, and finds the parts of prompts
 * that explain the crashes.
 *
 * <p>
 * A part that crashes every engine is found in a lost call of several crashes, and no
 * response to a prompt with it ever starts. Each response that starts clears the parts of
 * its prompt from the crashes before it. An engine that starts a response just after it
 * has lost a call has not crashed, and that call is no evidence. Not thread-safe.
 */
public final class CrashEvidence {

	/**
	 * Number of crashes that a part must explain. Two may coincide with calls for a
	 * seldom used part.
	 */
	private static final int MIN_CRASHES = 3;

	/**
	 * Several engines may crash together for another reason. Crashes closer than this
	 * count as one; routers notice the same crash at slightly different times.
	 */
	private static final int CRASH_SEPARATION_MILLIS = 150;

	/**
	 * Time that reports of other routers about a crash may take.
	 */
	private static final int SETTLE_MILLIS = 300;

	/**
	 * Number of responses that must have started at this router since the first crash. If
	 * hardly any response starts, the prompts are not the cause.
	 */
	private static final int MIN_OTHER_STARTS = 2;

	/**
	 * Routers notice the end of a connection, and the last responses, at slightly
	 * different times.
	 */
	private static final int OBSERVATION_SKEW_MILLIS = 250;

	/**
	 * An engine that has crashed does not respond again within this time.
	 */
	private static final int MIN_RESTART_MILLIS = 1500;

	/**
	 * Not longer than a quarantine, whose crashes would otherwise set it again.
	 */
	private static final int RETENTION_MILLIS = 600_000;

	private static final int MAX_LOST_CALLS = 512;

	/**
	 * Limits the size of messages between routers when many engines crash together.
	 */
	private static final int MAX_SHARED_CALLS = 64;

	/**
	 * The report of a lost call may arrive after responses that contradict it.
	 */
	private static final int MAX_RECENT_STARTS = 256;

	private static final int MAX_CONTRADICTIONS = 64;

	private final Map<CallKey, Evidence> lostCalls = new LinkedHashMap<>();

	private final Map<PromptPartId, Long> lastStartMillis = new HashMap<>();

	private final Deque<StartedResponse> recentStarts = new ArrayDeque<>();

	private final Deque<StartedResponse> contradictions = new ArrayDeque<>();

	private long startCount;

	/**
	 * Adds a lost call.
	 * @param call the call
	 * @param nowMillis the current time
	 * @return false if the call is already known or too old
	 */
	public boolean addLostCall(LostCall call, long nowMillis) {
		removeOld(nowMillis);
		CallKey key = new CallKey(call.target(), call.requestId());
		boolean isTooOld = nowMillis - call.lostAtMillis() > RETENTION_MILLIS;
		if (call.parts().isEmpty() || isTooOld || this.lostCalls.containsKey(key)) {
			return false;
		}
		Evidence added = new Evidence(call, nowMillis, this.startCount);
		this.lostCalls.put(key, added);
		this.recentStarts.forEach((response) -> contradict(added, response));
		if (this.lostCalls.size() > MAX_LOST_CALLS) {
			this.lostCalls.remove(this.lostCalls.keySet().iterator().next());
		}
		return true;
	}

	private void removeOld(long nowMillis) {
		boolean anyRemoved = this.lostCalls.values()
			.removeIf((evidence) -> nowMillis - evidence.call.lostAtMillis() > RETENTION_MILLIS);
		if (anyRemoved) {
			this.lastStartMillis.keySet().retainAll(partsOfLostCalls());
		}
	}

	private Set<PromptPartId> partsOfLostCalls() {
		return this.lostCalls.values()
			.stream()
			.flatMap((evidence) -> evidence.call.parts().stream())
			.collect(Collectors.toSet());
	}

	/**
	 * Records a response that started at this router.
	 * @param response the response
	 * @return whether it contradicts evidence, so that other routers should know it
	 */
	public boolean recordStart(StartedResponse response) {
		this.startCount++;
		addBounded(this.recentStarts, response, MAX_RECENT_STARTS);
		return recordRelayedStart(response);
	}

	/**
	 * Records a response that started at another router.
	 * @param response the response
	 * @return whether it contradicts evidence that was not contradicted yet
	 */
	public boolean recordRelayedStart(StartedResponse response) {
		boolean contradicts = false;
		for (Evidence evidence : this.lostCalls.values()) {
			contradicts |= contradict(evidence, response);
		}
		return contradicts;
	}

	private boolean contradict(Evidence evidence, StartedResponse response) {
		boolean contradicts = disproveCrash(evidence, response) | clearParts(evidence.call, response);
		if (contradicts && !response.equals(this.contradictions.peekLast())) {
			addBounded(this.contradictions, response, MAX_CONTRADICTIONS);
		}
		return contradicts;
	}

	private static void addBounded(Deque<StartedResponse> responses, StartedResponse response, int maxSize) {
		responses.addLast(response);
		if (responses.size() > maxSize) {
			responses.removeFirst();
		}
	}

	private static boolean disproveCrash(Evidence evidence, StartedResponse response) {
		long sinceLossMillis = response.startedAtMillis() - evidence.call.lostAtMillis();
		if (evidence.disproved || !response.target().equals(evidence.call.target())
				|| sinceLossMillis <= OBSERVATION_SKEW_MILLIS || sinceLossMillis > MIN_RESTART_MILLIS) {
			return false;
		}
		evidence.disproved = true;
		return true;
	}

	private boolean clearParts(LostCall call, StartedResponse response) {
		boolean isCleared = false;
		for (PromptPartId part : response.parts()) {
			if (call.parts().contains(part) && response.startedAtMillis() > call.lostAtMillis()
					&& isSuspect(part, call)) {
				this.lastStartMillis.merge(part, response.startedAtMillis(), Math::max);
				isCleared = true;
			}
		}
		return isCleared;
	}

	private boolean isSuspect(PromptPartId part, LostCall call) {
		return this.lastStartMillis.getOrDefault(part, Long.MIN_VALUE) <= call.lostAtMillis();
	}

	/**
	 * Returns the lost calls that this router has learnt of recently.
	 * @param sinceMillis time after which this router learnt of them
	 * @return the newest calls up to a maximum number, which other routers should know
	 */
	public List<LostCall> lostCallsLearntAfter(long sinceMillis) {
		List<LostCall> calls = this.lostCalls.values()
			.stream()
			.filter((evidence) -> evidence.learntAtMillis > sinceMillis)
			.map((evidence) -> evidence.call)
			.toList();
		return calls.subList(Math.max(0, calls.size() - MAX_SHARED_CALLS), calls.size());
	}

	/**
	 * Returns the responses of the recent past that contradict evidence.
	 * @param sinceMillis time after which the responses started
	 * @return the responses, which other routers should know
	 */
	public List<StartedResponse> contradictionsSince(long sinceMillis) {
		return this.contradictions.stream().filter((response) -> response.startedAtMillis() > sinceMillis).toList();
	}

	/**
	 * Finds the parts that explain crashes which no quarantine explains yet.
	 * @param quarantines the quarantines in force
	 * @param nowMillis the current time
	 * @return the smallest known set of parts that all of these calls have in common, or
	 * empty if no part explains enough crashes
	 */
	public Optional<Set<PromptPartId>> findCause(Collection<Quarantine> quarantines, long nowMillis) {
		removeOld(nowMillis);
		List<Suspicion> suspicions = suspicions(nowMillis);
		Set<Crash> explained = suspicions.stream()
			.filter((suspicion) -> quarantines.stream().anyMatch((rule) -> rule.matches(suspicion.call().parts())))
			.map(Suspicion::crash)
			.collect(Collectors.toSet());
		if (suspicions.stream().map(Suspicion::crash).allMatch(explained::contains)) {
			return Optional.empty();
		}
		return candidates(suspicions, explained).stream().max(Candidate.BY_SPECIFICITY).map(Candidate::commonParts);
	}

	private List<Suspicion> suspicions(long nowMillis) {
		List<Crash> crashes = new ArrayList<>();
		List<Suspicion> suspicions = new ArrayList<>();
		for (Evidence evidence : this.lostCalls.values()) {
			if (!evidence.disproved && evidence.call.lostAtMillis() <= nowMillis - SETTLE_MILLIS) {
				Set<PromptPartId> suspects = evidence.call.parts()
					.stream()
					.filter((part) -> isSuspect(part, evidence.call))
					.collect(Collectors.toCollection(TreeSet::new));
				suspicions.add(new Suspicion(evidence.call, crashOf(evidence.call, crashes), suspects,
						evidence.startCountBefore));
			}
		}
		return suspicions;
	}

	private static Crash crashOf(LostCall call, List<Crash> crashes) {
		for (Crash crash : crashes) {
			if (crash.includes(call)) {
				return crash;
			}
		}
		Crash crash = new Crash(call.target(), call.lostAtMillis());
		crashes.add(crash);
		return crash;
	}

	private List<Candidate> candidates(List<Suspicion> suspicions, Set<Crash> explained) {
		Map<PromptPartId, List<Suspicion>> byPart = new HashMap<>();
		for (Suspicion suspicion : suspicions) {
			suspicion.suspects()
				.forEach((part) -> byPart.computeIfAbsent(part, (absent) -> new ArrayList<>()).add(suspicion));
		}
		List<Candidate> candidates = new ArrayList<>();
		byPart.forEach((part, ofPart) -> {
			boolean isUnexplained = ofPart.stream().anyMatch((suspicion) -> !explained.contains(suspicion.crash()));
			if (isUnexplained && hasOtherStarts(ofPart)) {
				int crashCount = countSeparateCrashes(ofPart);
				if (crashCount >= MIN_CRASHES && hasSeveralTargets(ofPart)) {
					candidates.add(new Candidate(commonParts(ofPart), crashCount));
				}
			}
		});
		return candidates;
	}

	private boolean hasOtherStarts(List<Suspicion> ofPart) {
		long startCountBefore = ofPart.stream().mapToLong(Suspicion::startCountBefore).min().orElse(this.startCount);
		return this.startCount - startCountBefore >= MIN_OTHER_STARTS;
	}

	private static boolean hasSeveralTargets(List<Suspicion> ofPart) {
		return ofPart.stream().map((suspicion) -> suspicion.call().target()).distinct().count() > 1;
	}

	private static int countSeparateCrashes(List<Suspicion> ofPart) {
		List<Long> timesMillis = ofPart.stream().map((suspicion) -> suspicion.crash().atMillis()).sorted().toList();
		int count = 0;
		long lastMillis = 0;
		for (long timeMillis : timesMillis) {
			if (count == 0 || timeMillis - lastMillis >= CRASH_SEPARATION_MILLIS) {
				count++;
				lastMillis = timeMillis;
			}
		}
		return count;
	}

	private static Set<PromptPartId> commonParts(List<Suspicion> ofPart) {
		Set<PromptPartId> common = new TreeSet<>(ofPart.get(0).suspects());
		ofPart.forEach((suspicion) -> common.retainAll(suspicion.suspects()));
		return common;
	}

	private record CallKey(TargetId target, String requestId) {

	}

	private record Crash(TargetId target, long atMillis) {

		private boolean includes(LostCall call) {
			return this.target.equals(call.target())
					&& Math.abs(call.lostAtMillis() - this.atMillis) < MIN_RESTART_MILLIS;
		}

	}

	private record Suspicion(LostCall call, Crash crash, Set<PromptPartId> suspects, long startCountBefore) {

	}

	private record Candidate(Set<PromptPartId> commonParts, int crashCount) {

		/**
		 * A larger set of parts refuses fewer calls, so a larger one comes last.
		 */
		private static final Comparator<Candidate> BY_SPECIFICITY = Comparator
			.comparingInt((Candidate candidate) -> candidate.commonParts().size())
			.thenComparingInt(Candidate::crashCount)
			.thenComparing((candidate) -> candidate.commonParts().toString());

	}

	private static final class Evidence {

		private final LostCall call;

		private final long learntAtMillis;

		private final long startCountBefore;

		private boolean disproved;

		Evidence(LostCall call, long learntAtMillis, long startCountBefore) {
			this.call = call;
			this.learntAtMillis = learntAtMillis;
			this.startCountBefore = startCountBefore;
		}

	}

}
