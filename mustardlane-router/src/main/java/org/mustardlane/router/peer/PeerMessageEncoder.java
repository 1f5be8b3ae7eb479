package org.mustardlane.router.peer;

import com.google.protobuf.ByteString;

import org.mustardlane.core.message.CatalogueRelay;
import org.mustardlane.core.message.CatalogueRelayRequest;
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.ClaimRequest;
import org.mustardlane.core.message.Gossip;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.message.VmListRelay;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.RefusalCode;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.membership.VmHeartbeat;
import org.mustardlane.protocol.PeerFrame;
import org.mustardlane.protocol.RelayedRecord;
import org.mustardlane.protocol.Shard;

/**
 * Encodes messages to other routers as frames.
 */
public final class PeerMessageEncoder {

	private PeerMessageEncoder() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return a frame with the message as its body, without a sender and a hybrid time
	 */
	public static PeerFrame.Builder encode(PeerMessage message) {
		PeerFrame.Builder frame = PeerFrame.newBuilder();
		if (message instanceof GrantRequest request) {
			return frame.setGrantAsk(grantRequest(request));
		}
		if (message instanceof GrantReply reply) {
			return frame.setGrantAnswer(grantReply(reply));
		}
		if (message instanceof GrantRelease release) {
			return frame.setGrantRelease(grantRelease(release));
		}
		if (message instanceof GrantRenewal renewal) {
			return frame.setGrantRenewal(grantRenewal(renewal));
		}
		if (message instanceof ShardLoad load) {
			return frame.setShardLoad(shardLoad(load));
		}
		if (message instanceof Gossip gossip) {
			return frame.setGossip(gossip(gossip));
		}
		return encodeClaimOrRelay(message, frame);
	}

	private static PeerFrame.Builder encodeClaimOrRelay(PeerMessage message, PeerFrame.Builder frame) {
		if (message instanceof ClaimRequest request) {
			return frame.setClaimAsk(claimRequest(request));
		}
		if (message instanceof ClaimReply reply) {
			return frame.setClaimAnswer(claimReply(reply));
		}
		if (message instanceof ClaimRelease release) {
			return frame.setClaimRelease(org.mustardlane.protocol.ClaimRelease.newBuilder()
				.setClaimKey(release.claimKey())
				.setAttemptId(release.attemptId()));
		}
		if (message instanceof ClaimCompletion completion) {
			return frame.setClaimCompletion(claimCompletion(completion));
		}
		if (message instanceof CatalogueRelayRequest request) {
			return frame.setCatalogueRelayAsk(
					org.mustardlane.protocol.CatalogueRelayAsk.newBuilder().setFromOffset(request.fromOffset()));
		}
		if (message instanceof CatalogueRelay relay) {
			return frame.setCatalogueRelay(catalogueRelay(relay));
		}
		if (message instanceof VmListRelay relay) {
			return frame.setVmListRelay(org.mustardlane.protocol.VmListRelay.newBuilder()
				.setVersion(relay.vmList().version())
				.setVmList(ByteString.copyFrom(VmListJson.toJson(relay.vmList()))));
		}
		throw new IllegalArgumentException("No frame is defined for " + message.getClass().getSimpleName());
	}

	private static Shard shard(ShardId shard) {
		return Shard.newBuilder()
			.setPool(shard.pool().value())
			.setDomain(shard.domain().value())
			.setIndex(shard.index())
			.build();
	}

	private static org.mustardlane.protocol.GrantAsk.Builder grantRequest(GrantRequest request) {
		return org.mustardlane.protocol.GrantAsk.newBuilder()
			.setRequestId(request.requestId().value())
			.setAttempt(request.attempt())
			.setShard(shard(request.shard()))
			.setEntry(request.entry().value())
			.setOrganisation(request.organisation().value())
			.setServiceClass(request.serviceClass().ordinal())
			.setChatHash(request.chatHash())
			.setDeadlineMillis(request.deadlineMillis())
			.setExpectedWorkMillis(request.expectedWorkMillis())
			.addAllExcludedTargets(request.excludedTargets().stream().map(TargetId::value).sorted().toList())
			.setMayQueue(request.mayQueue());
	}

	private static org.mustardlane.protocol.GrantAnswer.Builder grantReply(GrantReply reply) {
		return org.mustardlane.protocol.GrantAnswer.newBuilder()
			.setRequestId(reply.requestId().value())
			.setAttempt(reply.attempt())
			.setShard(shard(reply.shard()))
			.setVerdict(org.mustardlane.protocol.GrantAnswer.Verdict.valueOf(reply.verdict().name()))
			.setGrantId(reply.grantId())
			.setTarget(reply.target().map(TargetId::value).orElse(""))
			.setExpiryMillis(reply.expiryMillis())
			.setRetryAfterMillis(reply.retryAfterMillis())
			.setReason(reply.refusalCode().map(RefusalCode::name).orElse(""));
	}

	private static org.mustardlane.protocol.GrantRelease.Builder grantRelease(GrantRelease release) {
		return org.mustardlane.protocol.GrantRelease.newBuilder()
			.setRequestId(release.requestId().value())
			.setAttempt(release.attempt())
			.setShard(shard(release.shard()))
			.setGrantId(release.grantId())
			.setTarget(release.target().value())
			.setCause(org.mustardlane.protocol.GrantRelease.Cause.valueOf(release.cause().name()))
			.setFirstTokenMillis(release.timing().firstTokenMillis())
			.setWorstTokenGapMillis(release.timing().worstTokenGapMillis())
			.setServiceMillis(release.timing().serviceMillis());
	}

	private static org.mustardlane.protocol.GrantRenewal.Builder grantRenewal(GrantRenewal renewal) {
		return org.mustardlane.protocol.GrantRenewal.newBuilder()
			.setShard(shard(renewal.shard()))
			.addAllGrants(renewal.grants().stream().map(PeerMessageEncoder::heldGrant).toList());
	}

	private static org.mustardlane.protocol.HeldGrant heldGrant(HeldGrant grant) {
		return org.mustardlane.protocol.HeldGrant.newBuilder()
			.setGrantId(grant.grantId())
			.setTarget(grant.target().value())
			.setRequestId(grant.requestId().value())
			.setAttempt(grant.attempt())
			.setOrganisation(grant.organisation().value())
			.setServiceClass(grant.serviceClass().ordinal())
			.build();
	}

	private static org.mustardlane.protocol.ShardLoad shardLoad(ShardLoad load) {
		return org.mustardlane.protocol.ShardLoad.newBuilder()
			.setShard(shard(load.shard()))
			.setVersion(load.version())
			.setGranted(load.granted())
			.setQueued(load.queued())
			.setOpenTargets(load.openTargets())
			.setSlots(load.slots())
			.build();
	}

	private static org.mustardlane.protocol.ClaimAsk.Builder claimRequest(ClaimRequest request) {
		return org.mustardlane.protocol.ClaimAsk.newBuilder()
			.setRequestId(request.requestId().value())
			.setAttemptId(request.attemptId())
			.setClaimKey(request.claimKey())
			.setBodyDigest(ByteString.copyFrom(request.bodyDigest()))
			.setDeadlineMillis(request.deadlineMillis());
	}

	private static org.mustardlane.protocol.ClaimAnswer.Builder claimReply(ClaimReply reply) {
		org.mustardlane.protocol.ClaimAnswer.Builder builder = org.mustardlane.protocol.ClaimAnswer.newBuilder()
			.setRequestId(reply.requestId().value())
			.setAttemptId(reply.attemptId())
			.setVerdict(org.mustardlane.protocol.ClaimAnswer.Verdict.valueOf(reply.verdict().name()))
			.setOffset(reply.offset())
			.setHolderVm(reply.holderVm().map(VmId::value).orElse(""))
			.setHolderRequestId(reply.holderRequestId().map(RequestId::value).orElse(""))
			.setRetryAfterMillis(reply.retryAfterMillis());
		reply.response()
			.ifPresent((response) -> builder.setAnswerStatus(response.status())
				.setAnswerContentType(response.contentType())
				.setAnswerBody(ByteString.copyFrom(response.body())));
		return builder;
	}

	private static org.mustardlane.protocol.ClaimCompletion.Builder claimCompletion(ClaimCompletion completion) {
		return org.mustardlane.protocol.ClaimCompletion.newBuilder()
			.setClaimKey(completion.claimKey())
			.setAttemptId(completion.attemptId())
			.setStatus(completion.response().status())
			.setContentType(completion.response().contentType())
			.setBody(ByteString.copyFrom(completion.response().body()));
	}

	private static org.mustardlane.protocol.Gossip.Builder gossip(Gossip gossip) {
		return org.mustardlane.protocol.Gossip.newBuilder()
			.addAllHeartbeats(gossip.heartbeats().stream().map(PeerMessageEncoder::heartbeat).toList())
			.setCatalogueRevision(gossip.catalogueRevision())
			.setVmListVersion(gossip.vmListVersion())
			.addAllShardLoads(gossip.shardLoads().stream().map(PeerMessageEncoder::shardLoad).toList());
	}

	private static org.mustardlane.protocol.VmHeartbeat heartbeat(VmHeartbeat heartbeat) {
		return org.mustardlane.protocol.VmHeartbeat.newBuilder()
			.setVm(heartbeat.vm().value())
			.setDomain(heartbeat.domain().value())
			.setIncarnation(heartbeat.incarnation())
			.setCounter(heartbeat.counter())
			.setDraining(heartbeat.draining())
			.setHost(heartbeat.host())
			.setPort(heartbeat.port())
			.setCatalogueRevision(heartbeat.catalogueRevision())
			.setSilenceMillis(heartbeat.silenceMillis())
			.build();
	}

	private static org.mustardlane.protocol.CatalogueRelay.Builder catalogueRelay(CatalogueRelay relay) {
		return org.mustardlane.protocol.CatalogueRelay.newBuilder()
			.addAllRecords(relay.records().stream().map(PeerMessageEncoder::record).toList());
	}

	private static RelayedRecord record(LogRecord record) {
		return RelayedRecord.newBuilder()
			.setOffset(record.offset())
			.setAppendedAtMillis(record.appendedAtMillis())
			.setType(record.type())
			.setBody(ByteString.copyFrom(record.body()))
			.build();
	}

}
