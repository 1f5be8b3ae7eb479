package org.mustardlane.core.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.mustardlane.core.model.common.TargetId;

/**
 * Collects the calls that were lost with their targets, and finds the features of calls
 * that explain the crashes: parts of prompts, or the content of a single request that
 * comes again.
 *
 * <p>
 * A feature that crashes every target is found in a lost call of several crashes. No
 * response to a prompt with a crashing part ever starts, and no response to a crashing
 * request is ever complete. Each response that starts clears the parts of its prompt from
 * the crashes before it, each complete one its content. A target that starts a response
 * just after it has lost a call has not crashed, and that call is no evidence. Not
 * thread-safe.
 */
public final class CrashEvidence {

	/**
	 * Time that reports of other routers about a crash may take.
	 */
	private static final int SETTLE_MILLIS = 300;

	/**
	 * Number of responses that must have started at this router since the first crash. If
	 * hardly any response starts, the calls are not the cause.
	 */
	private static final int MIN_OTHER_STARTS = 2;

	/**
	 * Routers notice the end of a connection, and the last responses, at slightly
	 * different times.
	 */
	private static final int OBSERVATION_SKEW_MILLIS = 250;

	/**
	 * A target that has crashed does not respond again within this time.
	 */
	private static final int MIN_RESTART_MILLIS = 1500;

	/**
	 * Not longer than a quarantine, whose crashes would otherwise set it again.
	 */
	private static final int RETENTION_MILLIS = 600_000;

	private static final int MAX_LOST_CALLS = 512;

	/**
	 * Limits the size of messages between routers when many targets crash together.
	 */
	private static final int MAX_SHARED_CALLS = 64;

	/**
	 * The report of a lost call may arrive after responses that contradict it.
	 */
	private static final int MAX_RECENT_STARTS = 256;

	private static final int MAX_CONTRADICTIONS = 64;

	private final Map<CallKey, Evidence> lostCalls = new LinkedHashMap<>();

	private final Map<CallFeature, Long> lastStartMillis = new HashMap<>();

	private final Deque<StartedResponse> recentStarts = new ArrayDeque<>();

	private final Deque<StartedResponse> contradictions = new ArrayDeque<>();

	private long startCount;

	/**
	 * Adds a lost call.
	 * @param call the call
	 * @param nowMillis the current time
	 * @return false if the call is already known, too old or without features
	 */
	public boolean addLostCall(LostCall call, long nowMillis) {
		removeOld(nowMillis);
		CallKey key = new CallKey(call.target(), call.requestId());
		boolean isTooOld = nowMillis - call.lostAtMillis() > RETENTION_MILLIS;
		if (call.suspectFeatures().isEmpty() || isTooOld || this.lostCalls.containsKey(key)) {
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
			this.lastStartMillis.keySet().retainAll(featuresOfLostCalls());
		}
	}

	private Set<CallFeature> featuresOfLostCalls() {
		return this.lostCalls.values()
			.stream()
			.flatMap((evidence) -> evidence.call.suspectFeatures().stream())
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
		boolean contradicts = disproveCrash(evidence, response) | clearFeatures(evidence.call, response);
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

	private boolean clearFeatures(LostCall call, StartedResponse response) {
		boolean isCleared = false;
		for (CallFeature feature : response.features()) {
			if (response.startedAtMillis() > call.lostAtMillis() && call.suspectFeatures().contains(feature)
					&& isSuspect(feature, call)) {
				this.lastStartMillis.merge(feature, response.startedAtMillis(), Math::max);
				isCleared = true;
			}
		}
		return isCleared;
	}

	private boolean isSuspect(CallFeature feature, LostCall call) {
		return this.lastStartMillis.getOrDefault(feature, Long.MIN_VALUE) <= call.lostAtMillis();
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
	 * Finds the features that explain crashes which no quarantine explains yet.
	 * @param quarantines the quarantines in force
	 * @param nowMillis the current time
	 * @return the features that a call must have to be refused, or empty if no feature
	 * explains enough crashes
	 */
	public Optional<Set<CallFeature>> findCause(Collection<Quarantine> quarantines, long nowMillis) {
		removeOld(nowMillis);
		return new CauseFinder(suspicions(nowMillis), quarantines).find();
	}

	private List<Suspicion> suspicions(long nowMillis) {
		List<Crash> crashes = new ArrayList<>();
		List<Suspicion> suspicions = new ArrayList<>();
		for (Evidence evidence : this.lostCalls.values()) {
			if (!evidence.disproved && evidence.call.lostAtMillis() <= nowMillis - SETTLE_MILLIS) {
				Set<CallFeature> suspects = evidence.call.suspectFeatures()
					.stream()
					.filter((feature) -> isSuspect(feature, evidence.call))
					.collect(Collectors.toCollection(TreeSet::new));
				boolean othersStarted = this.startCount - evidence.startCountBefore >= MIN_OTHER_STARTS;
				suspicions.add(new Suspicion(evidence.call, crashOf(evidence.call, crashes), suspects, othersStarted));
			}
		}
		return suspicions;
	}

	private static Crash crashOf(LostCall call, List<Crash> crashes) {
		for (Crash crash : crashes) {
			if (crash.includes(call, MIN_RESTART_MILLIS)) {
				return crash;
			}
		}
		Crash crash = new Crash(call.target(), call.lostAtMillis());
		crashes.add(crash);
		return crash;
	}

	private record CallKey(TargetId target, String requestId) {

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
