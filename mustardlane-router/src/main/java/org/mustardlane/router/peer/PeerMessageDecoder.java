package org.mustardlane.router.peer;

import java.util.Optional;
import java.util.stream.Collectors;

import org.mustardlane.core.message.CatalogueRelay;
import org.mustardlane.core.message.CatalogueRelayAsk;
import org.mustardlane.core.message.ClaimAnswer;
import org.mustardlane.core.message.ClaimAsk;
import org.mustardlane.core.message.ClaimCompletion;
import org.mustardlane.core.message.ClaimRelease;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.message.Gossip;
import org.mustardlane.core.message.GrantAnswer;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantVerdict;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.message.StoredAnswer;
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
 * Reads frames of other routers.
 */
final class PeerMessageDecoder {

	private PeerMessageDecoder() {
	}

	/**
	 * Reads a frame.
	 * @param frame the frame
	 * @return its message
	 * @throws MalformedFrameException if the frame is not as agreed
	 */
	static PeerMessage decode(PeerFrame frame) throws MalformedFrameException {
		try {
			return message(frame);
		}
		catch (IllegalArgumentException | IndexOutOfBoundsException ex) {
			throw new MalformedFrameException(frame.getBodyCase() + ": " + ex.getMessage());
		}
	}

	private static PeerMessage message(PeerFrame frame) throws MalformedFrameException {
		return switch (frame.getBodyCase()) {
			case GRANT_ASK -> grantAsk(frame.getGrantAsk());
			case GRANT_ANSWER -> grantAnswer(frame.getGrantAnswer());
			case GRANT_RELEASE -> grantRelease(frame.getGrantRelease());
			case GRANT_RENEWAL -> grantRenewal(frame.getGrantRenewal());
			case SHARD_LOAD -> shardLoad(frame.getShardLoad());
			case CLAIM_ASK -> claimAsk(frame.getClaimAsk());
			case CLAIM_ANSWER -> claimAnswer(frame.getClaimAnswer());
			case CLAIM_RELEASE ->
				new ClaimRelease(frame.getClaimRelease().getClaimKey(), frame.getClaimRelease().getAttemptId());
			case CLAIM_COMPLETION -> claimCompletion(frame.getClaimCompletion());
			case GOSSIP -> gossip(frame.getGossip());
			case CATALOGUE_RELAY_ASK -> new CatalogueRelayAsk(frame.getCatalogueRelayAsk().getFromOffset());
			case CATALOGUE_RELAY -> catalogueRelay(frame.getCatalogueRelay());
			case VM_LIST_RELAY -> new VmListRelay(VmListJson.read(frame.getVmListRelay().getVersion(),
					frame.getVmListRelay().getVmList().toByteArray()));
			case BODY_NOT_SET -> throw new MalformedFrameException("a frame without a known body");
		};
	}

	private static ShardId shard(Shard shard) {
		return new ShardId(new PoolId(shard.getPool()), new DomainId(shard.getDomain()), shard.getIndex());
	}

	private static ServiceClass serviceClass(int ordinal) {
		return ServiceClass.values()[ordinal];
	}

	private static Optional<String> text(String value) {
		return value.isEmpty() ? Optional.empty() : Optional.of(value);
	}

	private static GrantAsk grantAsk(org.mustardlane.protocol.GrantAsk ask) {
		return new GrantAsk(new RequestId(ask.getRequestId()), ask.getAttempt(), shard(ask.getShard()),
				new EntryName(ask.getEntry()), new OrganisationId(ask.getOrganisation()),
				serviceClass(ask.getServiceClass()), ask.getChatHash(), ask.getDeadlineMillis(),
				ask.getExpectedWorkMillis(),
				ask.getExcludedTargetsList().stream().map(TargetId::new).collect(Collectors.toUnmodifiableSet()),
				ask.getMayQueue());
	}

	private static GrantAnswer grantAnswer(org.mustardlane.protocol.GrantAnswer answer) {
		return new GrantAnswer(new RequestId(answer.getRequestId()), answer.getAttempt(), shard(answer.getShard()),
				GrantVerdict.valueOf(answer.getVerdict().name()), answer.getGrantId(),
				text(answer.getTarget()).map(TargetId::new), answer.getExpiryMillis(), answer.getRetryAfterMillis(),
				text(answer.getReason()).map(RefusalCode::valueOf));
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

	private static ClaimAsk claimAsk(org.mustardlane.protocol.ClaimAsk ask) {
		return new ClaimAsk(new RequestId(ask.getRequestId()), ask.getAttemptId(), ask.getClaimKey(),
				ask.getBodyDigest().toByteArray(), ask.getDeadlineMillis());
	}

	private static ClaimAnswer claimAnswer(org.mustardlane.protocol.ClaimAnswer answer) {
		ClaimVerdict verdict = ClaimVerdict.valueOf(answer.getVerdict().name());
		Optional<StoredAnswer> stored = (verdict == ClaimVerdict.COMPLETED)
				? Optional.of(new StoredAnswer(answer.getAnswerStatus(), answer.getAnswerContentType(),
						answer.getAnswerBody().toByteArray()))
				: Optional.empty();
		return new ClaimAnswer(new RequestId(answer.getRequestId()), answer.getAttemptId(), verdict, answer.getOffset(),
				text(answer.getHolderVm()).map(VmId::new), text(answer.getHolderRequestId()).map(RequestId::new),
				stored, answer.getRetryAfterMillis());
	}

	private static ClaimCompletion claimCompletion(org.mustardlane.protocol.ClaimCompletion completion) {
		return new ClaimCompletion(completion.getClaimKey(), completion.getAttemptId(), new StoredAnswer(
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
