package org.mustardlane.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Finds the feature that explains crashes best.
 *
 * <p>
 * A content comes before a part of prompts, as its quarantine refuses a single request
 * only. Calls that were lost after their responses had started come last: they are mostly
 * calls that another one has taken along. Not thread-safe.
 */
final class CauseFinder {

	/**
	 * Number of crashes that a feature must explain. Two may coincide with calls for a
	 * seldom used part.
	 */
	private static final int MIN_CRASHES = 3;

	/**
	 * Several targets may crash together for another reason. Crashes closer than this
	 * count as one; routers notice the same crash at slightly different times.
	 */
	private static final int CRASH_SEPARATION_MILLIS = 150;

	private final List<Suspicion> suspicions;

	private final Set<Crash> unexplained;

	/**
	 * Creates a finder.
	 * @param suspicions all lost calls with their suspect features
	 * @param quarantines the quarantines in force, which explain the crashes of the calls
	 * that they refuse
	 */
	CauseFinder(List<Suspicion> suspicions, Collection<Quarantine> quarantines) {
		this.suspicions = suspicions;
		Set<Crash> explained = suspicions.stream()
			.filter((suspicion) -> quarantines.stream()
				.anyMatch((rule) -> rule.matches(suspicion.call().suspectFeatures())))
			.map(Suspicion::crash)
			.collect(Collectors.toSet());
		this.unexplained = suspicions.stream()
			.map(Suspicion::crash)
			.filter((crash) -> !explained.contains(crash))
			.collect(Collectors.toSet());
	}

	/**
	 * Finds the features that explain crashes which no quarantine explains.
	 * @return the features that a call must have to be refused, or empty
	 */
	Optional<Set<CallFeature>> find() {
		if (this.unexplained.isEmpty()) {
			return Optional.empty();
		}
		List<Suspicion> notStarted = this.suspicions.stream()
			.filter((suspicion) -> !suspicion.call().started())
			.toList();
		return decisive(candidates(notStarted, CallFeature::isContent))
			.or(() -> candidates(notStarted, (feature) -> !feature.isContent()).stream().max(Candidate.BY_SPECIFICITY))
			.or(() -> decisive(candidates(this.suspicions, CallFeature::isContent)))
			.map(Candidate::features);
	}

	// A call that another one has taken along may be lost as often as that one at first.
	private static Optional<Candidate> decisive(List<Candidate> candidates) {
		List<Candidate> specific = candidates.stream()
			.filter((candidate) -> candidates.stream().noneMatch((other) -> other.isMoreSpecificThan(candidate)))
			.toList();
		Optional<Candidate> best = specific.stream().max(Candidate.BY_CRASHES);
		return best.filter((candidate) -> candidate.crashCount() > MIN_CRASHES || specific.stream()
			.noneMatch((other) -> other.crashCount() == candidate.crashCount()
					&& !other.features().equals(candidate.features())));
	}

	private List<Candidate> candidates(List<Suspicion> from, Predicate<CallFeature> filter) {
		Map<CallFeature, List<Suspicion>> byFeature = new HashMap<>();
		for (Suspicion suspicion : from) {
			suspicion.suspects()
				.stream()
				.filter(filter)
				.forEach((feature) -> byFeature.computeIfAbsent(feature, (absent) -> new ArrayList<>()).add(suspicion));
		}
		List<Candidate> candidates = new ArrayList<>();
		for (List<Suspicion> ofFeature : byFeature.values()) {
			Candidate candidate = Candidate.of(ofFeature, filter);
			if (isCandidate(ofFeature) && explainsEnoughCrashes(candidate, ofFeature)) {
				candidates.add(candidate);
			}
		}
		return candidates;
	}

	private boolean isCandidate(List<Suspicion> ofFeature) {
		boolean isUnexplained = ofFeature.stream().map(Suspicion::crash).anyMatch(this.unexplained::contains);
		long targetCount = ofFeature.stream().map((suspicion) -> suspicion.call().target()).distinct().count();
		return isUnexplained && targetCount > 1;
	}

	private boolean explainsEnoughCrashes(Candidate candidate, List<Suspicion> ofFeature) {
		boolean othersStarted = ofFeature.stream().anyMatch(Suspicion::othersStarted);
		return candidate.crashCount() >= MIN_CRASHES
				&& (othersStarted || (candidate.isContent() && isAlone(ofFeature)));
	}

	// In a quiet time no other responses show that the targets are sound. But then no
	// other calls are lost either, as they would be if the targets crashed by themselves.
	private boolean isAlone(List<Suspicion> ofFeature) {
		Set<Crash> crashes = ofFeature.stream().map(Suspicion::crash).collect(Collectors.toSet());
		return this.suspicions.stream()
			.filter((suspicion) -> crashes.contains(suspicion.crash()))
			.allMatch(ofFeature::contains);
	}

	/**
	 * Features that may be the cause.
	 *
	 * @param features the features that all calls with the first one have in common
	 * @param crashCount number of separate crashes that they explain
	 */
	private record Candidate(Set<CallFeature> features, int crashCount) {

		/**
		 * A larger set of features refuses fewer calls, so a larger one comes last.
		 */
		private static final Comparator<Candidate> BY_SPECIFICITY = Comparator
			.comparingInt((Candidate candidate) -> candidate.features().size())
			.thenComparingInt(Candidate::crashCount)
			.thenComparing((candidate) -> candidate.features().toString());

		private static final Comparator<Candidate> BY_CRASHES = Comparator.comparingInt(Candidate::crashCount)
			.thenComparing(BY_SPECIFICITY);

		private static Candidate of(List<Suspicion> ofFeature, Predicate<CallFeature> filter) {
			Set<CallFeature> common = ofFeature.get(0)
				.suspects()
				.stream()
				.filter(filter)
				.collect(Collectors.toCollection(TreeSet::new));
			ofFeature.forEach((suspicion) -> common.retainAll(suspicion.suspects()));
			return new Candidate(common, countSeparateCrashes(ofFeature));
		}

		private boolean isContent() {
			return this.features.stream().allMatch(CallFeature::isContent);
		}

		private boolean isMoreSpecificThan(Candidate other) {
			return this.features.size() > other.features.size() && this.features.containsAll(other.features);
		}

		private static int countSeparateCrashes(List<Suspicion> ofFeature) {
			List<Suspicion> inOrder = ofFeature.stream()
				.sorted(Comparator.comparingLong((suspicion) -> suspicion.crash().atMillis()))
				.toList();
			int count = 1;
			Suspicion last = inOrder.get(0);
			for (Suspicion suspicion : inOrder) {
				if (isSeparate(suspicion, last)) {
					count++;
					last = suspicion;
				}
			}
			return count;
		}

		// A call that was sent only after the last crash cannot have met the same event.
		// For one call that was sent on, this holds whatever the reports of other routers
		// say about the times.
		private static boolean isSeparate(Suspicion suspicion, Suspicion last) {
			long sinceLastMillis = suspicion.crash().atMillis() - last.crash().atMillis();
			boolean isSentOn = suspicion.call().requestId().equals(last.call().requestId())
					|| suspicion.call().sentAtMillis() >= last.crash().atMillis();
			return sinceLastMillis >= CRASH_SEPARATION_MILLIS || (sinceLastMillis > 0 && isSentOn);
		}

	}

}
