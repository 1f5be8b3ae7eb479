package org.mustardlane.router.peer;

import java.util.Optional;
import java.util.stream.Collectors;

import org.mustardlane.core.message.CatalogueRelay;
import org.mustardlane.core.message.CatalogueRelayRequest;
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.ClaimRequest;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.message.Gossip;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.GrantVerdict;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.message.StoredResponse;
import org.mustardlane.core.message.VmListRelay;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.RefusalCode;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.membership.VmHeartbeat;
import org.mustardlane.core.model.target.AttemptTiming;
import org.mustardlane.protocol.PeerFrame;
import org.mustardlane.protocol.RelayedRecord;
import org.mustardlane.protocol.Shard;

/**
 * Decodes frames from other routers.
 */
final class PeerMessageDecoder {

	private PeerMessageDecoder() {
	}

	/**
	 * Decodes a frame.
	 * @param frame the frame
	 * @return the message in the frame
	 * @throws MalformedFrameException if the frame is malformed
	 */
	static PeerMessage decode(PeerFrame frame) throws MalformedFrameException {
		try {
			return decodeBody(frame);
		}
		catch (IllegalArgumentException | IndexOutOfBoundsException ex) {
			throw new MalformedFrameException(frame.getBodyCase() + ": " + ex.getMessage());
		}
	}

	private static PeerMessage decodeBody(PeerFrame frame) throws MalformedFrameException {
		return switch (frame.getBodyCase()) {
			case GRANT_ASK -> grantRequest(frame.getGrantAsk());
			case GRANT_ANSWER -> grantReply(frame.getGrantAnswer());
			case GRANT_RELEASE -> grantRelease(frame.getGrantRelease());
			case GRANT_RENEWAL -> grantRenewal(frame.getGrantRenewal());
			case SHARD_LOAD -> shardLoad(frame.getShardLoad());
			case CLAIM_ASK -> claimRequest(frame.getClaimAsk());
			case CLAIM_ANSWER -> claimReply(frame.getClaimAnswer());
			case CLAIM_RELEASE ->
				new ClaimRelease(frame.getClaimRelease().getClaimKey(), frame.getClaimRelease().getAttemptId());
			case CLAIM_COMPLETION -> claimCompletion(frame.getClaimCompletion());
			case GOSSIP -> gossip(frame.getGossip());
			case CATALOGUE_RELAY_ASK -> new CatalogueRelayRequest(frame.getCatalogueRelayAsk().getFromOffset());
			case CATALOGUE_RELAY -> catalogueRelay(frame.getCatalogueRelay());
			case VM_LIST_RELAY -> new VmListRelay(VmListJson.parse(frame.getVmListRelay().getVersion(),
					frame.getVmListRelay().getVmList().toByteArray()));
			case BODY_NOT_SET -> throw new MalformedFrameException("the frame has no known body");
		};
	}

	private static ShardId shard(Shard shard) {
		return new ShardId(new PoolId(shard.getPool()), new DomainId(shard.getDomain()), shard.getIndex());
	}

	private static ServiceClass serviceClass(int ordinal) {
		return ServiceClass.values()[ordinal];
	}

	private static Optional<String> optionalText(String value) {
		return value.isEmpty() ? Optional.empty() : Optional.of(value);
	}

	private static GrantRequest grantRequest(org.mustardlane.protocol.GrantAsk request) {
		return new GrantRequest(new RequestId(request.getRequestId()), request.getAttempt(), shard(request.getShard()),
				new EntryName(request.getEntry()), new OrganisationId(request.getOrganisation()),
				serviceClass(request.getServiceClass()), request.getChatHash(), request.getDeadlineMillis(),
				request.getExpectedWorkMillis(),
				request.getExcludedTargetsList().stream().map(TargetId::new).collect(Collectors.toUnmodifiableSet()),
				request.getMayQueue());
	}

	private static GrantReply grantReply(org.mustardlane.protocol.GrantAnswer reply) {
		return new GrantReply(new RequestId(reply.getRequestId()), reply.getAttempt(), shard(reply.getShard()),
				GrantVerdict.valueOf(reply.getVerdict().name()), reply.getGrantId(),
				optionalText(reply.getTarget()).map(TargetId::new), reply.getExpiryMillis(),
				reply.getRetryAfterMillis(), optionalText(reply.getReason()).map(RefusalCode::valueOf));
	}

	private static GrantRelease grantRelease(org.mustardlane.protocol.GrantRelease release) {
		return new GrantRelease(new RequestId(release.getRequestId()), release.getAttempt(), shard(release.getShard()),
				release.getGrantId(), new TargetId(release.getTarget()),
				ReleaseCause.valueOf(release.getCause().name()), new AttemptTiming(release.getFirstTokenMillis(),
						release.getWorstTokenGapMillis(), release.getServiceMillis()));
	}

	private static GrantRenewal grantRenewal(org.mustardlane.protocol.GrantRenewal renewal) {
		return new GrantRenewal(shard(renewal.getShard()),
				renewal.getGrantsList().stream().map(PeerMessageDecoder::heldGrant).toList());
	}

	private static HeldGrant heldGrant(org.mustardlane.protocol.HeldGrant grant) {
		return new HeldGrant(grant.getGrantId(), new TargetId(grant.getTarget()), new RequestId(grant.getRequestId()),
				grant.getAttempt(), new OrganisationId(grant.getOrganisation()), serviceClass(grant.getServiceClass()));
	}

	private static ShardLoad shardLoad(org.mustardlane.protocol.ShardLoad load) {
		return new ShardLoad(shard(load.getShard()), load.getVersion(), load.getGranted(), load.getQueued(),
				load.getOpenTargets(), load.getSlots());
	}

	private static ClaimRequest claimRequest(org.mustardlane.protocol.ClaimAsk request) {
		return new ClaimRequest(new RequestId(request.getRequestId()), request.getAttemptId(), request.getClaimKey(),
				request.getBodyDigest().toByteArray(), request.getDeadlineMillis());
	}

	private static ClaimReply claimReply(org.mustardlane.protocol.ClaimAnswer reply) {
		ClaimVerdict verdict = ClaimVerdict.valueOf(reply.getVerdict().name());
		Optional<StoredResponse> storedResponse = (verdict == ClaimVerdict.COMPLETED)
				? Optional.of(new StoredResponse(reply.getAnswerStatus(), reply.getAnswerContentType(),
						reply.getAnswerBody().toByteArray()))
				: Optional.empty();
		return new ClaimReply(new RequestId(reply.getRequestId()), reply.getAttemptId(), verdict, reply.getOffset(),
				optionalText(reply.getHolderVm()).map(VmId::new),
				optionalText(reply.getHolderRequestId()).map(RequestId::new), storedResponse,
				reply.getRetryAfterMillis());
	}

	private static ClaimCompletion claimCompletion(org.mustardlane.protocol.ClaimCompletion completion) {
		return new ClaimCompletion(completion.getClaimKey(), completion.getAttemptId(), new StoredResponse(
				completion.getStatus(), completion.getContentType(), completion.getBody().toByteArray()));
	}

	private static Gossip gossip(org.mustardlane.protocol.Gossip gossip) {
		return new Gossip(gossip.getHeartbeatsList().stream().map(PeerMessageDecoder::heartbeat).toList(),
				gossip.getCatalogueRevision(), gossip.getVmListVersion(),
				gossip.getShardLoadsList().stream().map(PeerMessageDecoder::shardLoad).toList());
	}

	private static VmHeartbeat heartbeat(org.mustardlane.protocol.VmHeartbeat heartbeat) {
		return new VmHeartbeat(new VmId(heartbeat.getVm()), new DomainId(heartbeat.getDomain()),
				heartbeat.getIncarnation(), heartbeat.getCounter(), heartbeat.getDraining(), heartbeat.getHost(),
				heartbeat.getPort(), heartbeat.getCatalogueRevision(), heartbeat.getSilenceMillis());
	}

	private static CatalogueRelay catalogueRelay(org.mustardlane.protocol.CatalogueRelay relay) {
		return new CatalogueRelay(relay.getRecordsList().stream().map(PeerMessageDecoder::record).toList());
	}

	private static LogRecord record(RelayedRecord record) {
		return new LogRecord(record.getOffset(), record.getAppendedAtMillis(), record.getType(),
				record.getBody().toByteArray());
	}

}
