package org.mustardlane.core.execution;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.apache.commons.codec.digest.DigestUtils;

import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.RequestArrived;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.ClaimRequest;
import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.GrantVerdict;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.CallerRequest;
import org.mustardlane.core.model.execution.RefusalCode;
import org.mustardlane.core.model.membership.Ownership;

/**
 * Test fixture: a request handler whose catalogue has one pool of two targets, with
 * methods that simulate the replies of shard and partition owners.
 */
final class RequestHandlerFixture {

	static final VmId SELF = new VmId("vm-1");

	static final VmId OTHER = new VmId("vm-2");

	static final RequestId REQUEST = new RequestId("r-1");

	static final EntryName CHAT_ENTRY = new EntryName("chat");

	static final EntryName RELEASE_ENTRY = new EntryName("lot-release");

	static final long RESPONSE_LIMIT_MILLIS = 10_000;

	static final TargetId FIRST_TARGET = new TargetId("target-1");

	static final TargetId SECOND_TARGET = new TargetId("target-2");

	private static final DomainId DOMAIN = new DomainId("domain-1");

	private static final PoolId POOL = new PoolId("pool");

	private static final OrganisationId ORGANISATION = new OrganisationId("organisation-1");

	private final RequestHandler handler;

	private final List<NodeAction> actions = new ArrayList<>();

	RequestHandlerFixture() {
		this.handler = new RequestHandler(new Ownership(SELF, DOMAIN, Map.of()));
		setOwner(OTHER);
		handle(new CatalogueChanged(catalogue()), 0);
	}

	static CatalogueSnapshot catalogue() {
		Organisation organisation = new Organisation(ORGANISATION, DigestUtils.sha256Hex("secret"), 100, 1);
		return new CatalogueSnapshot(1,
				Map.of(CHAT_ENTRY, entry(CHAT_ENTRY, true), RELEASE_ENTRY, entry(RELEASE_ENTRY, false)),
				Map.of(ORGANISATION, organisation),
				Map.of(FIRST_TARGET, target(FIRST_TARGET), SECOND_TARGET, target(SECOND_TARGET)));
	}

	private static CatalogueEntry entry(EntryName name, boolean idempotent) {
		return new CatalogueEntry(name, ORGANISATION, ServiceClass.INTERACTIVE, POOL, idempotent, idempotent, "/work",
				100, (int) RESPONSE_LIMIT_MILLIS, 100, 125, 1);
	}

	private static Target target(TargetId id) {
		return new Target(id, POOL, TargetKind.ENGINE, DOMAIN, "127.0.0.1", 1, 4, false);
	}

	static CallerRequest request(EntryName entry, String key, Optional<String> idempotencyKey) {
		return new CallerRequest(ORGANISATION, key, entry, Optional.of("chat-1"), idempotencyKey,
				HexFormat.of().parseHex("00"), 10, 0, Optional.empty());
	}

	RequestHandlerFixture setOwner(VmId owner) {
		return handle(new OwnershipChanged(new Ownership(SELF, DOMAIN, Map.of(owner, DOMAIN))), 0);
	}

	RequestHandlerFixture handle(NodeEvent event, long nowMillis) {
		this.actions.clear();
		this.actions.addAll(this.handler.handle(event, nowMillis));
		return this;
	}

	RequestHandlerFixture receiveRequest(EntryName entry) {
		Optional<String> key = entry.equals(RELEASE_ENTRY) ? Optional.of("key-1") : Optional.empty();
		return handle(new RequestArrived(REQUEST, request(entry, "secret", key)), 0);
	}

	RequestHandlerFixture replyToClaim(ClaimVerdict verdict, Optional<VmId> holder) {
		return replyToClaim(REQUEST.value(), verdict, holder);
	}

	RequestHandlerFixture replyToClaim(String attemptId, ClaimVerdict verdict, Optional<VmId> holder) {
		return receiveMessage(new ClaimReply(REQUEST, attemptId, verdict, 7, holder,
				holder.map((vm) -> new RequestId("r-0")), Optional.empty(), 500));
	}

	RequestHandlerFixture grant(int attempt, long grantId, TargetId target) {
		return receiveMessage(new GrantReply(REQUEST, attempt, shardOf(target), GrantVerdict.GRANTED, grantId,
				Optional.of(target), 1000, 0, Optional.empty()));
	}

	RequestHandlerFixture refuseGrant(int attempt) {
		return receiveMessage(new GrantReply(REQUEST, attempt, shardOf(FIRST_TARGET), GrantVerdict.REFUSED, 0,
				Optional.empty(), 0, 700, Optional.of(RefusalCode.OVERLOADED)));
	}

	private RequestHandlerFixture receiveMessage(PeerMessage message) {
		return handle(new PeerMessageReceived(OTHER, message), 1);
	}

	static ShardId shardOf(TargetId target) {
		return catalogue().shardByTarget().get(target);
	}

	int requestsInFlight() {
		return this.handler.requestsInFlight();
	}

	<T extends NodeAction> List<T> actions(Class<T> kind) {
		return this.actions.stream().filter(kind::isInstance).map(kind::cast).toList();
	}

	<T extends NodeAction> T findOnly(Class<T> kind) {
		List<T> found = actions(kind);
		if (found.size() != 1) {
			throw new AssertionError("expected one " + kind.getSimpleName() + " in " + this.actions);
		}
		return found.get(0);
	}

	<T extends PeerMessage> Stream<T> messages(Class<T> kind) {
		return actions(SendPeer.class).stream().map(SendPeer::message).filter(kind::isInstance).map(kind::cast);
	}

	boolean requestsClaim() {
		return messages(ClaimRequest.class).findAny().isPresent();
	}

	boolean requestsGrant() {
		return messages(GrantRequest.class).findAny().isPresent();
	}

}
