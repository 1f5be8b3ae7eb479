package org.mustardlane.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.mustardlane.core.chat.ShardRoute;
import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.DrainRequested;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.PollTarget;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.TargetReported;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.message.GrantAnswer;
import org.mustardlane.core.message.GrantAsk;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.message.ShardLoad;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;
import org.mustardlane.core.model.target.AttemptTiming;
import org.mustardlane.core.model.target.LoadReport;

/**
 * Several handlers and engines in one loop, with the asking side in its simplest form.
 */
final class SimulatedFleet {

	static final int STEP_MILLIS = 5;

	private static final int MESSAGE_MILLIS = 1;

	private static final int REPORT_LAG_MILLIS = 500;

	private static final int RENEWAL_MILLIS = 1000;

	private static final int MOST_REDIRECTS = 2;

	private final Map<VmId, AdmissionHandler> routers = new TreeMap<>();

	private final Map<TargetId, SimulatedEngine> engines = new LinkedHashMap<>();

	private final Map<VmId, Ownership> views = new HashMap<>();

	private final Map<String, SimulatedRequest> requests = new LinkedHashMap<>();

	private final PriorityQueue<Timed> later = new PriorityQueue<>(
			Comparator.comparingLong(Timed::atMillis).thenComparingLong(Timed::order));

	private final CatalogueSnapshot catalogue;

	private final ShardRoute route;

	private final Random random;

	private long nowMillis = 1_000_000;

	private final Map<Integer, Integer> grantsByExcess = new TreeMap<>();

	private boolean retries;

	private long orders;

	private long loadMessages;

	SimulatedFleet(AdmissionPolicy policy, boolean owners, int routersPerDomain, int domains, int targets, int seed) {
		this.random = new Random(seed);
		this.catalogue = AdmissionFixture.catalogue(targets, domains, SimulatedEngine.SLOTS);
		this.route = new ShardRoute(this.catalogue);
		Map<VmId, DomainId> live = new HashMap<>();
		for (int i = 0; i < routersPerDomain * domains; i++) {
			live.put(new VmId("router-" + i), new DomainId("d" + i % domains));
		}
		for (int i = 0; i < targets; i++) {
			this.engines.put(AdmissionFixture.target(i), new SimulatedEngine());
		}
		live.forEach((vm, domain) -> {
			this.routers.put(vm, new AdmissionHandler(vm, 1, settings(policy, owners, seed)));
			this.views.put(vm, new Ownership(vm, domain, owners ? live : Map.of(vm, domain)));
		});
		this.routers.keySet().forEach((vm) -> {
			take(vm, new CatalogueChanged(this.catalogue));
			take(vm, new OwnershipChanged(this.views.get(vm)));
		});
		run(3000);
	}

	/**
	 * Returns the settings; without owners each router grants for itself, by its own
	 * grants and the late reports, as a new owner does in its warm-up.
	 */
	private static AdmissionSettings settings(AdmissionPolicy policy, boolean owners, int seed) {
		AdmissionSettings usual = AdmissionSettings.of(policy, seed);
		return owners ? usual
				: new AdmissionSettings(policy, seed, usual.grantLeaseMillis(), Integer.MAX_VALUE,
						usual.pollIntervalMillis(), usual.loadIntervalMillis(), usual.idleLoadIntervalMillis(),
						usual.loadValidityMillis(), usual.loadBytesPerSecond(), usual.queueLimit(),
						usual.prefixMissMillis(), usual.maxBulkPercent(), usual.urgentReservePercent());
	}

	long now() {
		return this.nowMillis;
	}

	Random random() {
		return this.random;
	}

	SimulatedEngine engine(int index) {
		return this.engines.get(AdmissionFixture.target(index));
	}

	List<Integer> busy() {
		return this.engines.values().stream().map(SimulatedEngine::busy).toList();
	}

	List<SimulatedRequest> requests() {
		return List.copyOf(this.requests.values());
	}

	long loadMessages() {
		return this.loadMessages;
	}

	/**
	 * Lets time pass.
	 */
	void run(long millis) {
		for (long end = this.nowMillis + millis; this.nowMillis < end;) {
			this.nowMillis += STEP_MILLIS;
			while (!this.later.isEmpty() && this.later.peek().atMillis() <= this.nowMillis) {
				this.later.remove().step().run();
			}
			this.engines.values().forEach((engine) -> engine.step(STEP_MILLIS, this.nowMillis).forEach(this::finish));
			if (this.nowMillis % RENEWAL_MILLIS == 0) {
				renew();
			}
			this.routers.keySet().forEach((vm) -> take(vm, new Tick()));
		}
	}

	void after(long millis, Runnable step) {
		this.later.add(new Timed(this.nowMillis + millis, this.orders++, step));
	}

	void submit(SimulatedRequest request) {
		List<VmId> all = new ArrayList<>(this.routers.keySet());
		request.router = all.get(this.random.nextInt(all.size()));
		this.requests.put(request.id, request);
		ask(request, home(request), false);
	}

	private ShardId home(SimulatedRequest request) {
		return this.route.route(AdmissionFixture.POOL, request.chat).get(0);
	}

	private void ask(SimulatedRequest request, ShardId shard, boolean mayQueue) {
		request.asks++;
		GrantAsk ask = new GrantAsk(new RequestId(request.id), request.asks, shard,
				new EntryName(request.serviceClass.name()), new OrganisationId(request.organisation),
				request.serviceClass, request.chat, request.deadlineMillis, (long) request.workMillis, Set.of(),
				mayQueue);
		sendToOwner(request.router, shard, ask);
	}

	private void sendToOwner(VmId from, ShardId shard, PeerMessage message) {
		send(from, this.views.get(from).shardOwner(shard).orElseThrow(), message);
	}

	private void send(VmId from, VmId to, PeerMessage message) {
		this.loadMessages += (message instanceof ShardLoad) ? 1 : 0;
		after(from.equals(to) ? 0 : MESSAGE_MILLIS, () -> {
			if (message instanceof GrantAnswer answer) {
				answer(this.requests.get(answer.requestId().value()), answer);
			}
			else {
				take(to, new PeerMessageReceived(from, message));
			}
		});
	}

	private void take(VmId vm, NodeEvent event) {
		for (NodeAction action : this.routers.get(vm).handle(event, this.nowMillis)) {
			if (action instanceof SendPeer send) {
				send(vm, send.peer(), send.message());
			}
			else if (action instanceof PollTarget poll) {
				SimulatedEngine engine = this.engines.get(poll.target().id());
				LoadReport report = new LoadReport(poll.target().id(), this.nowMillis, engine.busy(), 0,
						engine.leaving());
				after(REPORT_LAG_MILLIS, () -> take(vm, new TargetReported(report)));
			}
		}
	}

	private void answer(SimulatedRequest request, GrantAnswer answer) {
		switch (answer.verdict()) {
			case GRANTED -> {
				request.grant = answer;
				request.startedAtMillis = this.nowMillis;
				noteExcess(this.engines.get(answer.target().orElseThrow()));
				this.engines.get(answer.target().orElseThrow()).start(request);
			}
			case REDIRECTED -> {
				request.redirects++;
				boolean last = request.redirects > MOST_REDIRECTS;
				ask(request, last ? home(request) : answer.shard(), last);
			}
			case REFUSED -> {
				request.refused = true;
				request.retryAfterMillis = answer.retryAfterMillis();
				retry(request);
			}
			default -> after(STEP_MILLIS, () -> ask(request, home(request), true));
		}
	}

	private void retry(SimulatedRequest request) {
		if (this.retries && !request.isRetry()) {
			after(request.retryAfterMillis, () -> submit(request.retryAt(this.nowMillis)));
		}
	}

	/**
	 * Drains a router; the others learn of it within a time, each at another moment.
	 */
	void drain(VmId leaver, int withinMillis) {
		take(leaver, new DrainRequested(this.nowMillis + 30_000));
		this.routers.keySet().forEach((vm) -> after(this.random.nextInt(withinMillis), () -> {
			Map<VmId, DomainId> live = new HashMap<>(this.views.get(vm).routers());
			live.remove(leaver);
			this.views.put(vm, new Ownership(vm, this.views.get(vm).selfDomain(), live));
			take(vm, new OwnershipChanged(this.views.get(vm)));
		}));
	}

	VmId ownerOf(int engine) {
		ShardId shard = this.catalogue.shardOfTarget().get(AdmissionFixture.target(engine));
		return this.views.get(this.routers.keySet().iterator().next()).shardOwner(shard).orElseThrow();
	}

	/**
	 * Lets each refused request come back once, when it was told to.
	 */
	void allowRetries() {
		this.retries = true;
	}

	private void noteExcess(SimulatedEngine chosen) {
		double granted = busy().stream().mapToInt(Integer::intValue).sum() + 1;
		int bound = (int) Math.ceil(1.25 * granted / this.engines.size());
		this.grantsByExcess.merge(Math.max(0, chosen.busy() + 1 - bound), 1, Integer::sum);
	}

	/**
	 * Returns how many grants took an engine by how many requests above the true bound.
	 */
	Map<Integer, Integer> grantsByExcess() {
		return this.grantsByExcess;
	}

	private void finish(SimulatedRequest request) {
		AttemptTiming timing = new AttemptTiming(request.firstTokenAtMillis - request.startedAtMillis,
				request.worstGapMillis, request.endedAtMillis - request.startedAtMillis);
		GrantAnswer grant = request.grant;
		sendToOwner(request.router, grant.shard(), new GrantRelease(grant.requestId(), grant.attempt(), grant.shard(),
				grant.grantId(), grant.target().orElseThrow(), ReleaseCause.COMPLETED, timing));
	}

	private void renew() {
		for (SimulatedRequest request : this.requests.values()) {
			if (request.grant != null && request.endedAtMillis == 0) {
				HeldGrant held = new HeldGrant(request.grant.grantId(), request.grant.target().orElseThrow(),
						request.grant.requestId(), request.grant.attempt(), new OrganisationId(request.organisation),
						request.serviceClass);
				sendToOwner(request.router, request.grant.shard(),
						new GrantRenewal(request.grant.shard(), List.of(held)));
			}
		}
	}

	private record Timed(long atMillis, long order, Runnable step) {

	}

}
