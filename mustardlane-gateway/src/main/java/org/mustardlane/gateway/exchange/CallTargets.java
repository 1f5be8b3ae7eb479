package org.mustardlane.gateway.exchange;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.placement.PlacementRequest;
import org.mustardlane.core.stream.PoolVersion;

/**
 * The targets that one call may be sent to. Each target is tried once, and only while
 * this router may send it requests: within the limit of the target, and not during a
 * pause that it has asked for. A stream that has begun goes on only at targets of the
 * software version that began it.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class CallTargets {

	private final ExchangeContext context;

	private final RoutedCall routedCall;

	private final Set<TargetId> triedTargets = new HashSet<>();

	private Optional<PoolVersion> origin;

	CallTargets(ExchangeContext context, RoutedCall routedCall) {
		this.context = context;
		this.routedCall = routedCall;
		this.origin = routedCall.softwareVersion().map((version) -> new PoolVersion(routedCall.pool(), version));
	}

	/**
	 * Chooses the target of the next attempt.
	 * @return the target, or empty if no target may be sent the call now
	 */
	Optional<TargetEntry> choose() {
		PlacementRequest request = new PlacementRequest(candidates().toList(), this.routedCall.prefix(),
				this.context.domain(), this.context.nowMillis());
		return this.context.placementPolicy().choose(request, this.context.loads());
	}

	private Stream<TargetEntry> candidates() {
		return untriedTargets().filter((target) -> millisUntilAdmitted(target) == 0);
	}

	private Stream<TargetEntry> untriedTargets() {
		return poolTargets().stream().filter((target) -> !this.triedTargets.contains(target.id()));
	}

	private List<TargetEntry> poolTargets() {
		List<TargetEntry> targets = this.context.routingState().targets().readyTargets(this.routedCall.pool());
		if (this.origin.isEmpty()) {
			return targets;
		}
		String version = this.origin.get().softwareVersion();
		return targets.stream().filter((target) -> target.softwareVersion().equals(version)).toList();
	}

	private long millisUntilAdmitted(TargetEntry target) {
		return this.context.loads().of(target.id()).millisUntilAdmitted(target, this.context.nowMillis());
	}

	/**
	 * Returns whether another target may be sent the call now.
	 * @return true if there is one
	 */
	boolean hasCandidate() {
		return candidates().findAny().isPresent();
	}

	/**
	 * Returns the time until an untried target may be sent the call.
	 * @return the time in milliseconds, or empty if all targets were tried
	 */
	OptionalLong millisUntilCandidate() {
		return untriedTargets().mapToLong(this::millisUntilAdmitted).min();
	}

	/**
	 * Returns the time until any target may be sent a call, whether it was tried or not.
	 * @return the time in milliseconds, 0 if a target may be sent a call now or none is
	 * ready
	 */
	long millisUntilAnyTarget() {
		return poolTargets().stream().mapToLong(this::millisUntilAdmitted).min().orElse(0);
	}

	/**
	 * Excludes targets of other software versions from further attempts.
	 * @param version pool and software version that began the stream
	 */
	void requireVersion(PoolVersion version) {
		this.origin = Optional.of(version);
	}

	/**
	 * Returns what began the stream that the call goes on with.
	 * @return pool and software version, empty if any target may take the call
	 */
	Optional<PoolVersion> origin() {
		return this.origin;
	}

	/**
	 * Excludes a target from further attempts.
	 * @param target the target
	 */
	void markTried(TargetId target) {
		this.triedTargets.add(target);
	}

	/**
	 * Lets a further attempt go to a target that was tried before.
	 * @param target the target
	 */
	void allowAgain(TargetId target) {
		this.triedTargets.remove(target);
	}

	/**
	 * Finds an engine from which a target can copy the prefix of the prompt.
	 * @param target the target of the next attempt
	 * @return the engine, or empty if nothing is to be copied
	 */
	Optional<TargetEntry> findCopySource(TargetEntry target) {
		if (!this.routedCall.copiesPrefixes()) {
			return Optional.empty();
		}
		long nowMillis = this.context.nowMillis();
		return this.routedCall.prefix()
			.flatMap((prefix) -> this.context.prefixHolders().findCopySource(prefix, target, poolTargets(), nowMillis))
			.filter((source) -> !this.context.loads().isPaused(source, this.context.domain(), nowMillis));
	}

}
