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
 * Writes what operators ask for.
 */
final class OperatorAnswers {

	private static final long SILENCE_LIMIT_MILLIS = 8000;

	private OperatorAnswers() {
	}

	static StatusAnswer status(NodeStatus status, long nowMillis, String version) {
		long silenceMillis = nowMillis - status.lastPlatformContactMillis();
		StatusAnswer.Builder answer = StatusAnswer.newBuilder()
			.setVm(status.settings().self().value())
			.setDomain(status.settings().domain().value())
			.setCatalogueRevision(status.catalogueRevision())
			.setDraining(status.draining())
			.setPlatformReachable(silenceMillis < SILENCE_LIMIT_MILLIS)
			.setPlatformSilenceMillis(silenceMillis)
			.setRequestsInFlight(status.requestsInFlight())
			.setStartedAtMillis(status.settings().incarnationMillis())
			.setVersion(version);
		status.peers().forEach((peer) -> answer.addPeers(peer(peer, status.livePeers().contains(peer.vm()))));
		Map<ShardId, ShardLoad> loads = status.ownedShardLoads()
			.stream()
			.collect(Collectors.toMap(ShardLoad::shard, Function.identity(), (first, second) -> second));
		status.shardOwners()
			.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey())
			.forEach((entry) -> answer
				.addShards(shard(entry.getKey(), entry.getValue(), Optional.ofNullable(loads.get(entry.getKey())))));
		return answer.build();
	}

	private static PeerStatus peer(VmHeartbeat peer, boolean alive) {
		return PeerStatus.newBuilder()
			.setVm(peer.vm().value())
			.setDomain(peer.domain().value())
			.setAddress(peer.host() + ":" + peer.port())
			.setAlive(alive)
			.setDraining(peer.draining())
			.setCatalogueRevision(peer.catalogueRevision())
			.build();
	}

	private static ShardStatus shard(ShardId shard, VmId owner, Optional<ShardLoad> load) {
		ShardStatus.Builder status = ShardStatus.newBuilder()
			.setPool(shard.pool().value())
			.setDomain(shard.domain().value())
			.setIndex(shard.index())
			.setOwnerVm(owner.value());
		load.ifPresent((known) -> status.setGranted(known.granted())
			.setQueued(known.queued())
			.setOpenTargets(known.openTargets()));
		return status.build();
	}

	static TimelineEntry timeline(TimelineEvent event) {
		return TimelineEntry.newBuilder()
			.setHybridTime(event.hybridTime())
			.setVm(event.vm())
			.setDomain(event.domain())
			.setKind(event.kind())
			.setSubject(event.subject())
			.setDetail(event.detail())
			.build();
	}

	static CatalogueHistoryRow history(HistoryRow row) {
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

	static PublishAnswer publish(PublishResult result) {
		return PublishAnswer.newBuilder()
			.setVerdict(PublishAnswer.Verdict.valueOf(result.verdict().name()))
			.setRevision(result.revision())
			.setWinnerRevision(result.winnerRevision())
			.addAllFindings(result.findings().stream().map(OperatorAnswers::finding).toList())
			.build();
	}

	private static PublishFinding finding(Finding finding) {
		return PublishFinding.newBuilder()
			.setPath(finding.path())
			.setLine(finding.line())
			.setColumn(finding.column())
			.setMessage(finding.message())
			.build();
	}

}
