package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.chat.ShardRanking;
import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.TargetReported;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.message.ReleaseCause;
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
import org.mustardlane.core.model.membership.Ownership;
import org.mustardlane.core.model.target.AttemptTiming;
import org.mustardlane.core.model.target.LoadReport;

/**
 * Drives one {@link AdmissionHandler} with a simulated clock and collects its replies and
 * other actions.
 */
final class AdmissionFixture {

	static final PoolId POOL = new PoolId("model");

	static final DomainId DOMAIN = new DomainId("d0");

	static final ShardId SHARD = new ShardId(POOL, DOMAIN, 0);

	static final VmId SELF = new VmId("router-0");

	static final OrganisationId ORGANISATION = new OrganisationId("org-0");

	/**
	 * Number of organisations; the last two have a low concurrency limit.
	 */
	static final int ORGANISATION_COUNT = 10;

	static final int LOW_CONCURRENCY_LIMIT = 4;

	private static final long CHAT_HASH_FACTOR = 0x9E3779B97F4A7C15L;

	private final AdmissionHandler handler;

	private final List<GrantReply> replies = new ArrayList<>();

	private final List<NodeAction> otherActions = new ArrayList<>();

	private long nowMillis = 1_000_000;

	private int lastRequestNumber;

	AdmissionFixture(AdmissionSettings settings) {
		this.handler = new AdmissionHandler(SELF, 1, settings);
	}

	/**
	 * Returns a fixture whose only router owns one idle shard and has finished its
	 * warm-up.
	 */
	static AdmissionFixture warmedUp(AdmissionPolicy policy, int targetCount, int slotsPerTarget) {
		AdmissionFixture fixture = new AdmissionFixture(AdmissionSettings.defaults(policy, 7));
		fixture.handle(new CatalogueChanged(catalogue(targetCount, 1, slotsPerTarget)));
		fixture.handle(new OwnershipChanged(ownership(SELF, SELF)));
		for (int i = 0; i < targetCount; i++) {
			fixture.reportLoad(i, 0, false);
		}
		fixture.advance(2000);
		return fixture;
	}

	static CatalogueSnapshot catalogue(int targetCount, int domainCount, int slotsPerTarget) {
		Map<TargetId, Target> targetsById = new HashMap<>();
		for (int i = 0; i < targetCount; i++) {
			DomainId domain = new DomainId("d" + i % domainCount);
			targetsById.put(target(i), new Target(target(i), POOL, TargetKind.ENGINE, domain, "127.0.0.1", 9000 + i,
					slotsPerTarget, false));
		}
		Map<OrganisationId, Organisation> organisations = new HashMap<>();
		for (int i = 0; i < ORGANISATION_COUNT; i++) {
			OrganisationId id = new OrganisationId("org-" + i);
			organisations.put(id,
					new Organisation(id, "", (i < ORGANISATION_COUNT - 2) ? 1000 : LOW_CONCURRENCY_LIMIT, 1));
		}
		return new CatalogueSnapshot(1, Map.of(), organisations, targetsById);
	}

	static Ownership ownership(VmId self, VmId... routers) {
		Map<VmId, DomainId> domainsByRouter = new HashMap<>();
		for (VmId router : routers) {
			domainsByRouter.put(router, DOMAIN);
		}
		return new Ownership(self, DOMAIN, domainsByRouter);
	}

	static TargetId target(int index) {
		return new TargetId("engine-" + index);
	}

	/**
	 * Skips request numbers so that the next requests do not share IDs with those of
	 * another fixture.
	 */
	AdmissionFixture skipRequestNumbers() {
		this.lastRequestNumber += 1000;
		return this;
	}

	long nowMillis() {
		return this.nowMillis;
	}

	void advance(int durationMillis) {
		for (int i = 0; i < durationMillis; i += 10) {
			this.nowMillis += 10;
			handle(new Tick());
		}
	}

	List<NodeAction> handle(NodeEvent event) {
		List<NodeAction> actions = this.handler.handle(event, this.nowMillis);
		for (NodeAction action : actions) {
			if (action instanceof SendPeer send && send.message() instanceof GrantReply reply) {
				this.replies.add(reply);
			}
			else {
				this.otherActions.add(action);
			}
		}
		return actions;
	}

	void receive(PeerMessage message) {
		handle(new PeerMessageReceived(SELF, message));
	}

	void reportLoad(int targetIndex, int running, boolean leaving) {
		handle(new TargetReported(new LoadReport(target(targetIndex), this.nowMillis, running, 0, leaving)));
	}

	GrantRequest newRequest(ServiceClass serviceClass, String organisation, long chat, long serviceMillis,
			long timeoutMillis) {
		this.lastRequestNumber++;
		return new GrantRequest(new RequestId("r" + this.lastRequestNumber), 1, SHARD, new EntryName("entry"),
				new OrganisationId(organisation), serviceClass, chat * CHAT_HASH_FACTOR, this.nowMillis + timeoutMillis,
				serviceMillis, Set.of(), true);
	}

	/**
	 * Returns the request addressed to the home shard of its chat.
	 */
	GrantRequest atHomeShard(CatalogueSnapshot catalogue, GrantRequest request) {
		ShardId homeShard = ShardRanking.rankShards(catalogue, POOL, request.chatHash()).get(0);
		return new GrantRequest(request.requestId(), request.attempt(), homeShard, request.entry(),
				request.organisation(), request.serviceClass(), request.chatHash(), request.deadlineMillis(),
				request.expectedWorkMillis(), request.excludedTargets(), request.mayQueue());
	}

	GrantRequest newRequest(long chat) {
		return newRequest(ServiceClass.INTERACTIVE, ORGANISATION.value(), chat, 100, 10_000);
	}

	/**
	 * Sends a grant request and returns its reply, or empty if the request was queued.
	 */
	Optional<GrantReply> submit(GrantRequest request) {
		receive(request);
		return replyTo(request);
	}

	Optional<GrantReply> replyTo(GrantRequest request) {
		return this.replies.stream()
			.filter((reply) -> reply.requestId().equals(request.requestId()) && reply.attempt() == request.attempt())
			.reduce((first, second) -> second);
	}

	GrantReply submitForReply(GrantRequest request) {
		return submit(request).orElseThrow();
	}

	void release(GrantReply reply, ReleaseCause cause, AttemptTiming timing) {
		receive(new GrantRelease(reply.requestId(), reply.attempt(), reply.shard(), reply.grantId(),
				reply.target().orElseThrow(), cause, timing));
	}

	void release(GrantReply reply) {
		release(reply, ReleaseCause.COMPLETED, new AttemptTiming(20, 10, 100));
	}

	void withdraw(GrantRequest request) {
		receive(new GrantRelease(request.requestId(), request.attempt(), request.shard(), 0, target(0),
				ReleaseCause.CANCELLED, new AttemptTiming(-1, -1, 0)));
	}

	List<GrantReply> replies() {
		return this.replies;
	}

	List<NodeAction> otherActions() {
		return this.otherActions;
	}

	AdmissionHandler handler() {
		return this.handler;
	}

}
