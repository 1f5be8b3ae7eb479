package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.chat.ShardRoute;
import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.TargetReported;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.message.GrantAnswer;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.GrantRelease;
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
 * One handler, its catalogue, and short ways to talk to it.
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
	static final int ORGANISATIONS = 10;

	static final int LOW_LIMIT = 4;

	private static final long CHAT_MIX = 0x9E3779B97F4A7C15L;

	private final AdmissionHandler handler;

	private final List<GrantAnswer> answers = new ArrayList<>();

	private final List<NodeAction> otherActions = new ArrayList<>();

	private long nowMillis = 1_000_000;

	private int lastRequest;

	AdmissionFixture(AdmissionSettings settings) {
		this.handler = new AdmissionHandler(SELF, 1, settings);
	}

	/**
	 * Returns a fixture whose only router owns one shard, warm and idle.
	 */
	static AdmissionFixture warm(AdmissionPolicy policy, int targets, int slots) {
		AdmissionFixture fixture = new AdmissionFixture(AdmissionSettings.of(policy, 7));
		fixture.take(new CatalogueChanged(catalogue(targets, 1, slots)));
		fixture.take(new OwnershipChanged(ownership(SELF, SELF)));
		for (int i = 0; i < targets; i++) {
			fixture.report(i, 0, false);
		}
		fixture.advance(2000);
		return fixture;
	}

	static CatalogueSnapshot catalogue(int targets, int domains, int slots) {
		Map<TargetId, Target> all = new HashMap<>();
		for (int i = 0; i < targets; i++) {
			DomainId domain = new DomainId("d" + i % domains);
			all.put(target(i),
					new Target(target(i), POOL, TargetKind.ENGINE, domain, "127.0.0.1", 9000 + i, slots, false));
		}
		Map<OrganisationId, Organisation> organisations = new HashMap<>();
		for (int i = 0; i < ORGANISATIONS; i++) {
			OrganisationId id = new OrganisationId("org-" + i);
			organisations.put(id, new Organisation(id, "", (i < ORGANISATIONS - 2) ? 1000 : LOW_LIMIT, 1));
		}
		return new CatalogueSnapshot(1, Map.of(), organisations, all);
	}

	static Ownership ownership(VmId self, VmId... routers) {
		Map<VmId, DomainId> live = new HashMap<>();
		for (VmId router : routers) {
			live.put(router, DOMAIN);
		}
		return new Ownership(self, DOMAIN, live);
	}

	static TargetId target(int index) {
		return new TargetId("engine-" + index);
	}

	/**
	 * Names the requests that follow otherwise than those of another fixture.
	 */
	AdmissionFixture freshRequests() {
		this.lastRequest += 1000;
		return this;
	}

	long now() {
		return this.nowMillis;
	}

	void advance(int millis) {
		for (int i = 0; i < millis; i += 10) {
			this.nowMillis += 10;
			take(new Tick());
		}
	}

	List<NodeAction> take(NodeEvent event) {
		List<NodeAction> actions = this.handler.handle(event, this.nowMillis);
		for (NodeAction action : actions) {
			if (action instanceof SendPeer send && send.message() instanceof GrantAnswer answer) {
				this.answers.add(answer);
			}
			else {
				this.otherActions.add(action);
			}
		}
		return actions;
	}

	void receive(PeerMessage message) {
		take(new PeerMessageReceived(SELF, message));
	}

	void report(int target, int busy, boolean leaving) {
		take(new TargetReported(new LoadReport(target(target), this.nowMillis, busy, 0, leaving)));
	}

	GrantAsk newAsk(ServiceClass serviceClass, String organisation, long chat, long workMillis, long patienceMillis) {
		this.lastRequest++;
		return new GrantAsk(new RequestId("r" + this.lastRequest), 1, SHARD, new EntryName("entry"),
				new OrganisationId(organisation), serviceClass, chat * CHAT_MIX, this.nowMillis + patienceMillis,
				workMillis, Set.of(), true);
	}

	/**
	 * Returns the ask with the home shard of its chat.
	 */
	GrantAsk atHome(CatalogueSnapshot catalogue, GrantAsk ask) {
		ShardId home = ShardRoute.route(catalogue, POOL, ask.chatHash()).get(0);
		return new GrantAsk(ask.requestId(), ask.attempt(), home, ask.entry(), ask.organisation(), ask.serviceClass(),
				ask.chatHash(), ask.deadlineMillis(), ask.expectedWorkMillis(), ask.excludedTargets(), ask.mayQueue());
	}

	GrantAsk newAsk(long chat) {
		return newAsk(ServiceClass.INTERACTIVE, ORGANISATION.value(), chat, 100, 10_000);
	}

	/**
	 * Asks, and returns the answer if there is one at once.
	 */
	Optional<GrantAnswer> ask(GrantAsk ask) {
		receive(ask);
		return answerTo(ask);
	}

	Optional<GrantAnswer> answerTo(GrantAsk ask) {
		return this.answers.stream()
			.filter((answer) -> answer.requestId().equals(ask.requestId()) && answer.attempt() == ask.attempt())
			.reduce((first, second) -> second);
	}

	GrantAnswer granted(GrantAsk ask) {
		return ask(ask).orElseThrow();
	}

	void release(GrantAnswer answer, ReleaseCause cause, AttemptTiming timing) {
		receive(new GrantRelease(answer.requestId(), answer.attempt(), answer.shard(), answer.grantId(),
				answer.target().orElseThrow(), cause, timing));
	}

	void release(GrantAnswer answer) {
		release(answer, ReleaseCause.COMPLETED, new AttemptTiming(20, 10, 100));
	}

	void withdraw(GrantAsk ask) {
		receive(new GrantRelease(ask.requestId(), ask.attempt(), ask.shard(), 0, target(0), ReleaseCause.CANCELLED,
				new AttemptTiming(-1, -1, 0)));
	}

	List<GrantAnswer> answers() {
		return this.answers;
	}

	List<NodeAction> otherActions() {
		return this.otherActions;
	}

	AdmissionHandler handler() {
		return this.handler;
	}

}
