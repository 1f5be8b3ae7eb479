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

import org.mustardlane.core.chat.ShardRanking;
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
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
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
 * Simulates several admission handlers and engines with one clock. Requesting routers are
 * reduced to sending, renewing and releasing grants.
 */
final class SimulatedFleet {

	static final int STEP_MILLIS = 5;

	private static final int MESSAGE_DELAY_MILLIS = 1;

	private static final int REPORT_DELAY_MILLIS = 500;

	private static final int RENEWAL_INTERVAL_MILLIS = 1000;

	private static final int MAX_REDIRECTS = 2;

	private final Map<VmId, AdmissionHandler> routers = new TreeMap<>();

	private final Map<TargetId, SimulatedEngine> engines = new LinkedHashMap<>();

	private final Map<VmId, Ownership> ownerships = new HashMap<>();

	private final Map<String, SimulatedRequest> requests = new LinkedHashMap<>();

	private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledTask::atMillis).thenComparingLong(ScheduledTask::sequence));

	private final CatalogueSnapshot catalogue;

	private final ShardRanking route;

	private final Random random;

	private long nowMillis = 1_000_000;

	private final Map<Integer, Integer> grantsByExcess = new TreeMap<>();

	private boolean retriesAllowed;

	private long nextSequence;

	private long loadMessages;

	SimulatedFleet(AdmissionPolicy policy, boolean hasSharedOwnership, int routersPerDomain, int domainCount,
			int engineCount, int seed) {
		this.random = new Random(seed);
		this.catalogue = AdmissionFixture.catalogue(engineCount, domainCount, SimulatedEngine.SLOTS);
		this.route = new ShardRanking(this.catalogue);
		Map<VmId, DomainId> domainsByRouter = new HashMap<>();
		for (int i = 0; i < routersPerDomain * domainCount; i++) {
			domainsByRouter.put(new VmId("router-" + i), new DomainId("d" + i % domainCount));
		}
		for (int i = 0; i < engineCount; i++) {
			this.engines.put(AdmissionFixture.target(i), new SimulatedEngine());
		}
		domainsByRouter.forEach((vm, domain) -> {
			this.routers.put(vm, new AdmissionHandler(vm, 1, settings(policy, hasSharedOwnership, seed)));
			this.ownerships.put(vm,
					new Ownership(vm, domain, hasSharedOwnership ? domainsByRouter : Map.of(vm, domain)));
		});
		this.routers.keySet().forEach((vm) -> {
			dispatch(vm, new CatalogueChanged(this.catalogue));
			dispatch(vm, new OwnershipChanged(this.ownerships.get(vm)));
		});
		run(3000);
	}

	/**
	 * Returns the settings. Without shared ownership each router grants slots on its own.
	 * Its warm-up then never ends, so that it always considers the delayed load reports.
	 */
	private static AdmissionSettings settings(AdmissionPolicy policy, boolean hasSharedOwnership, int seed) {
		AdmissionSettings defaults = AdmissionSettings.defaults(policy, seed);
		return hasSharedOwnership ? defaults
				: new AdmissionSettings(policy, seed, defaults.grantLeaseMillis(), Integer.MAX_VALUE,
						defaults.pollIntervalMillis(), defaults.loadIntervalMillis(), defaults.idleLoadIntervalMillis(),
						defaults.loadValidityMillis(), defaults.loadBytesPerSecond(), defaults.queueLimit(),
						defaults.prefixMissMillis(), defaults.maxBulkPercent(), defaults.urgentReservePercent());
	}

	long nowMillis() {
		return this.nowMillis;
	}

	Random random() {
		return this.random;
	}

	SimulatedEngine engine(int index) {
		return this.engines.get(AdmissionFixture.target(index));
	}

	List<Integer> engineLoads() {
		return this.engines.values().stream().map(SimulatedEngine::load).toList();
	}

	List<SimulatedRequest> requests() {
		return List.copyOf(this.requests.values());
	}

	long loadMessages() {
		return this.loadMessages;
	}

	/**
	 * Advances the simulated time.
	 */
	void run(long durationMillis) {
		for (long endMillis = this.nowMillis + durationMillis; this.nowMillis < endMillis;) {
			this.nowMillis += STEP_MILLIS;
			while (!this.scheduledTasks.isEmpty() && this.scheduledTasks.peek().atMillis() <= this.nowMillis) {
				this.scheduledTasks.remove().task().run();
			}
			this.engines.values()
				.forEach((engine) -> engine.advance(STEP_MILLIS, this.nowMillis).forEach(this::finish));
			if (this.nowMillis % RENEWAL_INTERVAL_MILLIS == 0) {
				renew();
			}
			this.routers.keySet().forEach((vm) -> dispatch(vm, new Tick()));
		}
	}

	void schedule(long delayMillis, Runnable task) {
		this.scheduledTasks.add(new ScheduledTask(this.nowMillis + delayMillis, this.nextSequence++, task));
	}

	void submit(SimulatedRequest request) {
		List<VmId> routerIds = new ArrayList<>(this.routers.keySet());
		request.router = routerIds.get(this.random.nextInt(routerIds.size()));
		this.requests.put(request.id, request);
		requestGrant(request, homeShard(request), false);
	}

	private ShardId homeShard(SimulatedRequest request) {
		return this.route.rankShards(AdmissionFixture.POOL, request.chat).get(0);
	}

	private void requestGrant(SimulatedRequest request, ShardId shard, boolean mayQueue) {
		request.attempts++;
		GrantRequest grantRequest = new GrantRequest(new RequestId(request.id), request.attempts, shard,
				new EntryName(request.serviceClass.name()), new OrganisationId(request.organisation),
				request.serviceClass, request.chat, request.deadlineMillis, (long) request.serviceMillis, Set.of(),
				mayQueue);
		sendToOwner(request.router, shard, grantRequest);
	}

	private void sendToOwner(VmId sender, ShardId shard, PeerMessage message) {
		send(sender, this.ownerships.get(sender).shardOwner(shard).orElseThrow(), message);
	}

	private void send(VmId sender, VmId recipient, PeerMessage message) {
		this.loadMessages += (message instanceof ShardLoad) ? 1 : 0;
		schedule(sender.equals(recipient) ? 0 : MESSAGE_DELAY_MILLIS, () -> {
			if (message instanceof GrantReply reply) {
				handleReply(this.requests.get(reply.requestId().value()), reply);
			}
			else {
				dispatch(recipient, new PeerMessageReceived(sender, message));
			}
		});
	}

	private void dispatch(VmId vm, NodeEvent event) {
		for (NodeAction action : this.routers.get(vm).handle(event, this.nowMillis)) {
			if (action instanceof SendPeer send) {
				send(vm, send.peer(), send.message());
			}
			else if (action instanceof PollTarget poll) {
				SimulatedEngine engine = this.engines.get(poll.target().id());
				LoadReport report = new LoadReport(poll.target().id(), this.nowMillis, engine.load(), 0,
						engine.isLeaving());
				schedule(REPORT_DELAY_MILLIS, () -> dispatch(vm, new TargetReported(report)));
			}
		}
	}

	private void handleReply(SimulatedRequest request, GrantReply reply) {
		switch (reply.verdict()) {
			case GRANTED -> {
				request.grant = reply;
				request.startedAtMillis = this.nowMillis;
				recordExcess(this.engines.get(reply.target().orElseThrow()));
				this.engines.get(reply.target().orElseThrow()).start(request);
			}
			case REDIRECTED -> {
				request.redirects++;
				boolean redirectsExhausted = request.redirects > MAX_REDIRECTS;
				requestGrant(request, redirectsExhausted ? homeShard(request) : reply.shard(), redirectsExhausted);
			}
			case REFUSED -> {
				request.refused = true;
				request.retryAfterMillis = reply.retryAfterMillis();
				retry(request);
			}
			default -> schedule(STEP_MILLIS, () -> requestGrant(request, homeShard(request), true));
		}
	}

	private void retry(SimulatedRequest request) {
		if (this.retriesAllowed && !request.isRetry()) {
			schedule(request.retryAfterMillis, () -> submit(request.retryAt(this.nowMillis)));
		}
	}

	/**
	 * Drains a router. Every router stops counting it as live after its own random delay.
	 */
	void drain(VmId drainingRouter, int maxDelayMillis) {
		dispatch(drainingRouter, new DrainRequested(this.nowMillis + 30_000));
		this.routers.keySet().forEach((vm) -> schedule(this.random.nextInt(maxDelayMillis), () -> {
			Map<VmId, DomainId> domainsByRouter = new HashMap<>(this.ownerships.get(vm).routers());
			domainsByRouter.remove(drainingRouter);
			this.ownerships.put(vm, new Ownership(vm, this.ownerships.get(vm).selfDomain(), domainsByRouter));
			dispatch(vm, new OwnershipChanged(this.ownerships.get(vm)));
		}));
	}

	VmId ownerOf(int engineIndex) {
		ShardId shard = this.catalogue.shardByTarget().get(AdmissionFixture.target(engineIndex));
		return this.ownerships.get(this.routers.keySet().iterator().next()).shardOwner(shard).orElseThrow();
	}

	/**
	 * Resubmits each refused request once, after its retry delay.
	 */
	void allowRetries() {
		this.retriesAllowed = true;
	}

	private void recordExcess(SimulatedEngine engine) {
		double granted = engineLoads().stream().mapToInt(Integer::intValue).sum() + 1;
		int loadBound = (int) Math.ceil(1.25 * granted / this.engines.size());
		this.grantsByExcess.merge(Math.max(0, engine.load() + 1 - loadBound), 1, Integer::sum);
	}

	/**
	 * Returns the number of grants by how far the chosen engine then exceeded the load
	 * bound of the whole fleet.
	 */
	Map<Integer, Integer> grantsByExcess() {
		return this.grantsByExcess;
	}

	private void finish(SimulatedRequest request) {
		AttemptTiming timing = new AttemptTiming(request.firstTokenAtMillis - request.startedAtMillis,
				request.maxTokenGapMillis, request.endedAtMillis - request.startedAtMillis);
		GrantReply grant = request.grant;
		sendToOwner(request.router, grant.shard(), new GrantRelease(grant.requestId(), grant.attempt(), grant.shard(),
				grant.grantId(), grant.target().orElseThrow(), ReleaseCause.COMPLETED, timing));
	}

	private void renew() {
		for (SimulatedRequest request : this.requests.values()) {
			if (request.grant != null && request.endedAtMillis == 0) {
				HeldGrant heldGrant = new HeldGrant(request.grant.grantId(), request.grant.target().orElseThrow(),
						request.grant.requestId(), request.grant.attempt(), new OrganisationId(request.organisation),
						request.serviceClass);
				sendToOwner(request.router, request.grant.shard(),
						new GrantRenewal(request.grant.shard(), List.of(heldGrant)));
			}
		}
	}

	private record ScheduledTask(long atMillis, long sequence, Runnable task) {

	}

}
