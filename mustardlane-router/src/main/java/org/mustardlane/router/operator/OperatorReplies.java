package org.mustardlane.router.operator;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.mustardlane.core.catalogue.HistoryRow;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.model.catalogue.Finding;
import org.mustardlane.core.model.catalogue.PublishResult;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.VmHeartbeat;
import org.mustardlane.core.model.timeline.TimelineEvent;
import org.mustardlane.core.node.NodeStatus;
import org.mustardlane.protocol.CatalogueHistoryRow;
import org.mustardlane.protocol.PeerStatus;
import org.mustardlane.protocol.PublishAnswer;
import org.mustardlane.protocol.PublishFinding;
import org.mustardlane.protocol.ShardStatus;
import org.mustardlane.protocol.StatusAnswer;
import org.mustardlane.protocol.TimelineEntry;

/**
 * Converts the state and the results of the node to messages for operators.
 */
final class OperatorReplies {

	private static final long PLATFORM_UNREACHABLE_AFTER_MILLIS = 8000;

	private OperatorReplies() {
	}

	static StatusAnswer statusReply(NodeStatus status, long nowMillis, String version) {
		long silenceMillis = nowMillis - status.lastPlatformContactMillis();
		StatusAnswer.Builder reply = StatusAnswer.newBuilder()
			.setVm(status.settings().self().value())
			.setDomain(status.settings().domain().value())
			.setCatalogueRevision(status.catalogueRevision())
			.setDraining(status.draining())
			.setPlatformReachable(silenceMillis < PLATFORM_UNREACHABLE_AFTER_MILLIS)
			.setPlatformSilenceMillis(silenceMillis)
			.setRequestsInFlight(status.requestsInFlight())
			.setStartedAtMillis(status.settings().incarnationMillis())
			.setVersion(version);
		status.peers().forEach((peer) -> reply.addPeers(peerStatus(peer, status.livePeers().contains(peer.vm()))));
		Map<ShardId, ShardLoad> loadByShard = status.ownedShardLoads()
			.stream()
			.collect(Collectors.toMap(ShardLoad::shard, Function.identity(), (first, second) -> second));
		status.shardOwners()
			.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey())
			.forEach((entry) -> reply.addShards(shardStatus(entry.getKey(), entry.getValue(),
					Optional.ofNullable(loadByShard.get(entry.getKey())))));
		return reply.build();
	}

	private static PeerStatus peerStatus(VmHeartbeat peer, boolean alive) {
		return PeerStatus.newBuilder()
			.setVm(peer.vm().value())
			.setDomain(peer.domain().value())
			.setAddress(peer.host() + ":" + peer.port())
			.setAlive(alive)
			.setDraining(peer.draining())
			.setCatalogueRevision(peer.catalogueRevision())
			.build();
	}

	private static ShardStatus shardStatus(ShardId shard, VmId owner, Optional<ShardLoad> load) {
		ShardStatus.Builder builder = ShardStatus.newBuilder()
			.setPool(shard.pool().value())
			.setDomain(shard.domain().value())
			.setIndex(shard.index())
			.setOwnerVm(owner.value());
		load.ifPresent((shardLoad) -> builder.setGranted(shardLoad.granted())
			.setQueued(shardLoad.queued())
			.setOpenTargets(shardLoad.openTargets()));
		return builder.build();
	}

	static TimelineEntry timelineEntry(TimelineEvent event) {
		return TimelineEntry.newBuilder()
			.setHybridTime(event.hybridTime())
			.setVm(event.vm())
			.setDomain(event.domain())
			.setKind(event.kind())
			.setSubject(event.subject())
			.setDetail(event.detail())
			.build();
	}

	static CatalogueHistoryRow historyRow(HistoryRow row) {
		String verdict = (row.winnerRevision() > 0) ? row.verdict() + " to " + row.winnerRevision()
				: row.verdict().name();
		return CatalogueHistoryRow.newBuilder()
			.setRevision(row.revision())
			.setChangeId(row.changeId())
			.setAuthor(row.author())
			.setAppendedAtMillis(row.appendedAtMillis())
			.setVerdict(verdict)
			.setSummary(row.summary())
			.build();
	}

	static PublishAnswer publishReply(PublishResult result) {
		return PublishAnswer.newBuilder()
			.setVerdict(PublishAnswer.Verdict.valueOf(result.verdict().name()))
			.setRevision(result.revision())
			.setWinnerRevision(result.winnerRevision())
			.addAllFindings(result.findings().stream().map(OperatorReplies::publishFinding).toList())
			.build();
	}

	private static PublishFinding publishFinding(Finding finding) {
		return PublishFinding.newBuilder()
			.setPath(finding.path())
			.setLine(finding.line())
			.setColumn(finding.column())
			.setMessage(finding.message())
			.build();
	}

}
