package org.mustardlane.router.peer;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

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
import org.mustardlane.core.model.membership.VmEntry;
import org.mustardlane.core.model.membership.VmHeartbeat;
import org.mustardlane.core.model.membership.VmList;
import org.mustardlane.core.model.membership.VmState;
import org.mustardlane.core.model.target.AttemptTiming;
import org.mustardlane.protocol.PeerFrame;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

/**
 * Tests of the encoding and decoding of messages between routers.
 */
public class PeerMessageCodecTests {

	private static final RequestId REQUEST_ID = new RequestId("r-1");

	private static final ShardId SHARD = new ShardId(new PoolId("chat"), new DomainId("north"), 3);

	private static final byte[] BYTES = { 0, -1, 7 };

	private static final ShardLoad SHARD_LOAD = new ShardLoad(SHARD, 5L << 40, 1, 2, 3, 4);

	private static final StoredResponse STORED_RESPONSE = new StoredResponse(200, "text/plain", BYTES);

	@DataProvider
	public Object[][] messages() {
		HeldGrant heldGrant = new HeldGrant(9, new TargetId("t1"), REQUEST_ID, 2, new OrganisationId("o"),
				ServiceClass.BULK);
		VmHeartbeat heartbeat = new VmHeartbeat(new VmId("v"), new DomainId("d"), 1, 2, true, "127.0.0.1", 80, 7, 12);
		VmEntry vmEntry = new VmEntry(new VmId("v"), new DomainId("d"), "127.0.0.1", 0, VmState.LEAVING);
		PeerMessage[] messages = {
				new GrantRequest(REQUEST_ID, 2, SHARD, new EntryName("e"), new OrganisationId("o"),
						ServiceClass.INTERACTIVE, -5, 99, 40, Set.of(new TargetId("t1"), new TargetId("t2")), true),
				new GrantReply(REQUEST_ID, 2, SHARD, GrantVerdict.GRANTED, 7, Optional.of(new TargetId("t1")), 88, 0,
						Optional.empty()),
				new GrantReply(REQUEST_ID, 2, SHARD, GrantVerdict.REFUSED, 0, Optional.empty(), 0, 250,
						Optional.of(RefusalCode.OVERLOADED)),
				new GrantRelease(REQUEST_ID, 2, SHARD, 7, new TargetId("t1"), ReleaseCause.FAILED,
						new AttemptTiming(-1, -1, 12)),
				new GrantRenewal(SHARD, List.of(heldGrant)), SHARD_LOAD,
				new ClaimRequest(REQUEST_ID, "a", "k", BYTES, 77),
				new ClaimReply(REQUEST_ID, "a", ClaimVerdict.HELD_BY_OTHER, 12, Optional.of(new VmId("v")),
						Optional.of(new RequestId("r-2")), Optional.empty(), 5),
				new ClaimReply(REQUEST_ID, "a", ClaimVerdict.COMPLETED, 12, Optional.empty(), Optional.empty(),
						Optional.of(STORED_RESPONSE), 0),
				new ClaimRelease("k", "a"), new ClaimCompletion("k", "a", STORED_RESPONSE),
				new Gossip(List.of(heartbeat), 4, 5, List.of(SHARD_LOAD)), new CatalogueRelayRequest(17),
				new CatalogueRelay(List.of(new LogRecord(3, 4, "change", BYTES))),
				new VmListRelay(new VmList(6, List.of(vmEntry))) };
		return Arrays.stream(messages).map((message) -> new Object[] { message }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "messages")
	public void decodedMessageEqualsOriginal(PeerMessage message) throws Exception {
		PeerFrame frame = PeerFrame.parseFrom(PeerMessageEncoder.encode(message).build().toByteArray());
		assertEquals(comparableText(PeerMessageDecoder.decode(frame)), comparableText(message));
	}

	@Test
	public void everyMessageTypeIsTested() {
		Set<Class<?>> testedTypes = Arrays.stream(messages())
			.map((arguments) -> arguments[0].getClass())
			.collect(Collectors.toSet());
		assertEquals(testedTypes, Set.of(PeerMessage.class.getPermittedSubclasses()));
	}

	@DataProvider
	public Object[][] malformedFrames() {
		return new Object[][] { { PeerFrame.newBuilder() },
				{ PeerFrame.newBuilder().setGrantAsk(org.mustardlane.protocol.GrantAsk.getDefaultInstance()) },
				{ PeerFrame.newBuilder()
					.setClaimAnswer(
							org.mustardlane.protocol.ClaimAnswer.newBuilder().setRequestId("r").setVerdictValue(99)) },
				{ PeerFrame.newBuilder()
					.setVmListRelay(org.mustardlane.protocol.VmListRelay.newBuilder()
						.setVmList(ByteString.copyFromUtf8("{not json"))) },
				{ PeerFrame.newBuilder()
					.setVmListRelay(org.mustardlane.protocol.VmListRelay.newBuilder()
						.setVmList(ByteString.copyFromUtf8("[{\"vm\":\"a\"}]"))) } };
	}

	@Test(dataProvider = "malformedFrames")
	public void malformedFrameIsRejected(PeerFrame.Builder frame) {
		expectThrows(MalformedFrameException.class, () -> PeerMessageDecoder.decode(frame.build()));
	}

	/**
	 * Returns a text of the message with the contents of its arrays, because records
	 * compare arrays by identity.
	 */
	private static String comparableText(PeerMessage message) {
		return PeerMessageEncoder.encode(message).toString() + withoutArrayIdentities(message);
	}

	private static String withoutArrayIdentities(PeerMessage message) {
		return message.toString().replaceAll("\\[B@[0-9a-f]+", "bytes");
	}

}
