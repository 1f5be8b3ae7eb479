package org.mustardlane.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.LogReadFailed;
import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.RecordEvent;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.event.UnfollowStream;
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimRequest;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.model.common.LockRank;
import org.mustardlane.core.model.common.RankedLock;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.membership.Ownership;
import org.mustardlane.core.model.timeline.TimelineEvent;

/**
 * Decides claims in the partitions that this router owns.
 *
 * <p>
 * A lost partition is kept for at least 30 seconds and until its claim requests are
 * answered, so that a flapping membership view does not cause the claim window to be read
 * again. Thread-safe.
 */
public final class ClaimHandler implements EventHandler {

	private static final long LOST_PARTITION_RETENTION_MILLIS = 30_000;

	private static final int HYBRID_TIME_COUNTER_BITS = 16;

	private final RankedLock lock = new RankedLock(LockRank.CLAIMS);

	private final VmId self;

	private final String idPrefix;

	private final ClaimSettings settings;

	private final ClaimReplies replies;

	private final Map<Integer, ClaimPartition> partitions = new HashMap<>();

	private final Map<Integer, Long> lostAtMillis = new HashMap<>();

	private String domain = "";

	private long otherOwnerAppendCount;

	private long acquiredPartitionCount;

	/**
	 * Creates the handler with default settings.
	 * @param self id of this router
	 * @param incarnationMillis start time of this process in epoch milliseconds
	 */
	public ClaimHandler(VmId self, long incarnationMillis) {
		this(self, incarnationMillis, ClaimSettings.DEFAULT);
	}

	/**
	 * Creates the handler.
	 * @param self id of this router
	 * @param incarnationMillis start time of this process in epoch milliseconds
	 * @param settings limits and durations
	 */
	public ClaimHandler(VmId self, long incarnationMillis, ClaimSettings settings) {
		this.self = self;
		this.idPrefix = self + "/" + incarnationMillis + "/";
		this.settings = settings;
		this.replies = new ClaimReplies(settings);
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		return this.lock.callLocked(() -> dispatch(event, nowMillis));
	}

	private List<NodeAction> dispatch(NodeEvent event, long nowMillis) {
		if (event instanceof PeerMessageReceived received) {
			return handleMessage(received.sender(), received.message(), nowMillis);
		}
		if (event instanceof LogRecordsRead read) {
			return handleRecords(read, nowMillis);
		}
		if (event instanceof LogAppendEnded ended) {
			return applyToPartition(ended.stream(), (partition) -> partition.handleAppendResult(ended, nowMillis));
		}
		if (event instanceof LogReadFailed failed) {
			return applyToPartition(failed.stream(), (partition) -> {
				partition.handleReadFailure(nowMillis);
				return List.of();
			});
		}
		if (event instanceof OwnershipChanged changed) {
			return changeOwnership(changed.ownership(), nowMillis);
		}
		return (event instanceof Tick) ? tick(nowMillis) : List.of();
	}

	private List<NodeAction> handleMessage(VmId sender, PeerMessage message, long nowMillis) {
		if (message instanceof ClaimRequest request) {
			return ownedPartition(request.claimKey())
				.map((partition) -> partition.handleRequest(sender, request, nowMillis))
				.orElseGet(() -> List.of(new SendPeer(sender, this.replies.createNotOwner(request))));
		}
		if (message instanceof ClaimRelease release) {
			return handleRelease(sender, release, nowMillis);
		}
		if (message instanceof ClaimCompletion completion) {
			return ownedPartition(completion.claimKey())
				.map((partition) -> partition.handleCompletion(completion, nowMillis))
				.orElseGet(() -> appendForOtherOwner(this.replies.toStorableRecord(completion)));
		}
		return List.of();
	}

	private List<NodeAction> handleRelease(VmId sender, ClaimRelease release, long nowMillis) {
		Optional<ClaimPartition> partition = ownedPartition(release.claimKey());
		if (partition.isEmpty()) {
			return appendForOtherOwner(Optional.of(new ClaimReleased(release.claimKey(), release.attemptId())));
		}
		ClaimPartition.ReleaseResult result = partition.get().handleRelease(sender, release, nowMillis);
		if (!result.accepted()) {
			return List.of(record("claim-release-refused", release.attemptId(), "sent by " + sender, nowMillis));
		}
		return result.actions();
	}

	/**
	 * Appends a fact once to a partition that this router does not own. The sender has an
	 * outdated view of the owners, and a fact is valid whichever router appends it.
	 * @param fact the fact to append, or empty if there is nothing to append
	 * @return actions to perform
	 */
	private List<NodeAction> appendForOtherOwner(Optional<? extends ClaimFact> fact) {
		if (fact.isEmpty()) {
			return List.of();
		}
		this.otherOwnerAppendCount++;
		StreamName stream = StreamName.claimPartition(Ownership.claimPartitionOf(fact.get().claimKey()));
		List<RecordBody> records = List.of(ClaimCodec.encode(fact.get()));
		return List.of(new AppendLog(stream, this.idPrefix + "loose/" + this.otherOwnerAppendCount, records));
	}

	private Optional<ClaimPartition> ownedPartition(String claimKey) {
		int number = Ownership.claimPartitionOf(claimKey);
		if (this.lostAtMillis.containsKey(number)) {
			return Optional.empty();
		}
		return Optional.ofNullable(this.partitions.get(number));
	}

	private List<NodeAction> applyToPartition(StreamName stream, Function<ClaimPartition, List<NodeAction>> handler) {
		for (Map.Entry<Integer, ClaimPartition> partition : this.partitions.entrySet()) {
			if (StreamName.claimPartition(partition.getKey()).equals(stream)) {
				return handler.apply(partition.getValue());
			}
		}
		return List.of();
	}

	private List<NodeAction> handleRecords(LogRecordsRead read, long nowMillis) {
		if (isUnusedClaimsStream(read.stream())) {
			return List.of(new UnfollowStream(read.stream()));
		}
		List<String> problems = new ArrayList<>();
		List<NodeAction> actions = new ArrayList<>(
				applyToPartition(read.stream(), (partition) -> partition.handleRecords(read, problems, nowMillis)));
		for (String problem : problems) {
			actions.add(record("claim-record-skipped", read.stream().value(), problem, nowMillis));
		}
		return actions;
	}

	/**
	 * Returns whether a stream belongs to a claim partition that this router does not
	 * serve. Such a stream is still followed if the actions to follow and to unfollow it
	 * took effect in the wrong order.
	 * @param stream the stream
	 * @return whether this router should stop following the stream
	 */
	private boolean isUnusedClaimsStream(StreamName stream) {
		return IntStream.range(0, Ownership.CLAIM_PARTITIONS)
			.filter((number) -> StreamName.claimPartition(number).equals(stream))
			.anyMatch((number) -> !this.partitions.containsKey(number));
	}

	private List<NodeAction> changeOwnership(Ownership ownership, long nowMillis) {
		this.domain = ownership.selfDomain().value();
		List<NodeAction> actions = new ArrayList<>();
		for (int number = 0; number < Ownership.CLAIM_PARTITIONS; number++) {
			boolean isOwner = ownership.claimPartitionOwner(number).filter(this.self::equals).isPresent();
			if (isOwner) {
				acquirePartition(number).ifPresent(actions::add);
			}
			else if (this.partitions.containsKey(number)) {
				this.lostAtMillis.putIfAbsent(number, nowMillis);
			}
		}
		return actions;
	}

	private Optional<NodeAction> acquirePartition(int number) {
		this.lostAtMillis.remove(number);
		if (this.partitions.containsKey(number)) {
			return Optional.empty();
		}
		this.acquiredPartitionCount++;
		StreamName stream = StreamName.claimPartition(number);
		String appendPrefix = this.idPrefix + this.acquiredPartitionCount + "/";
		ClaimPartition partition = new ClaimPartition(stream, appendPrefix, this.settings);
		this.partitions.put(number, partition);
		return Optional.of(partition.createFollowAction());
	}

	private List<NodeAction> tick(long nowMillis) {
		List<NodeAction> actions = new ArrayList<>();
		this.partitions.values().forEach((partition) -> actions.addAll(partition.tick(nowMillis)));
		List<Integer> expired = this.lostAtMillis.entrySet()
			.stream()
			.filter((lost) -> lost.getValue() + LOST_PARTITION_RETENTION_MILLIS <= nowMillis)
			.map(Map.Entry::getKey)
			.filter((number) -> this.partitions.get(number).isIdle())
			.sorted()
			.toList();
		for (Integer number : expired) {
			this.partitions.remove(number);
			this.lostAtMillis.remove(number);
			actions.add(new UnfollowStream(StreamName.claimPartition(number)));
		}
		return actions;
	}

	private RecordEvent record(String kind, String subject, String detail, long nowMillis) {
		return new RecordEvent(new TimelineEvent(nowMillis << HYBRID_TIME_COUNTER_BITS, this.self.value(), this.domain,
				kind, subject, detail));
	}

}
