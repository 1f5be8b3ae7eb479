package org.mustardlane.core.execution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

import org.mustardlane.core.chat.ShardRanking;
import org.mustardlane.core.event.AttemptBytesReceived;
import org.mustardlane.core.event.AttemptEnded;
import org.mustardlane.core.event.AttemptHeadReceived;
import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.DrainFinished;
import org.mustardlane.core.event.DrainRequested;
import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.JoinEnded;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.PeerUnreachable;
import org.mustardlane.core.event.RefuseRequest;
import org.mustardlane.core.event.RequestArrived;
import org.mustardlane.core.event.RequestCancelled;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.ClaimRequest;
import org.mustardlane.core.message.GrantRenewal;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.HeldGrant;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.common.LockRank;
import org.mustardlane.core.model.common.RankedLock;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.membership.Ownership;

/**
 * Handles the requests that this router has received from callers.
 *
 * <p>
 * Thread-safe: one lock of rank {@link LockRank#REQUESTS} guards all state.
 */
public final class RequestHandler implements EventHandler {

	private static final long RENEWAL_INTERVAL_MILLIS = 1000;

	private static final long DRAIN_IDLE_MILLIS = 2000;

	private final RankedLock lock = new RankedLock(LockRank.REQUESTS);

	private final VmId self;

	private final Map<RequestId, RequestFlow> flows = new LinkedHashMap<>();

	private final AttemptBudgets budgets = new AttemptBudgets();

	private final FirstTokenTimes firstTokenTimes = new FirstTokenTimes();

	private CatalogueSnapshot catalogue = CatalogueSnapshot.EMPTY;

	private ShardRanking shardRanking = new ShardRanking(CatalogueSnapshot.EMPTY);

	private Ownership ownership;

	private long nextRenewalMillis;

	private boolean draining;

	private boolean drainFinished;

	private long lastBusyMillis;

	private long drainDeadlineMillis;

	/**
	 * Creates a handler without requests.
	 * @param initialOwnership the ownership that this router assumes at startup
	 */
	public RequestHandler(Ownership initialOwnership) {
		this.self = initialOwnership.self();
		this.ownership = initialOwnership;
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		return this.lock.callLocked(() -> dispatch(event, nowMillis));
	}

	/**
	 * Returns the number of requests that are not finished.
	 * @return the count
	 */
	public int requestsInFlight() {
		return this.lock.callLocked(this.flows::size);
	}

	private List<NodeAction> dispatch(NodeEvent event, long nowMillis) {
		if (event instanceof RequestArrived arrived) {
			return handleArrival(arrived, nowMillis);
		}
		if (event instanceof RequestCancelled cancelled) {
			return applyToFlow(cancelled.requestId(), (flow) -> flow.handleCallerDisconnect(context(), nowMillis));
		}
		if (event instanceof AttemptHeadReceived head) {
			return applyToFlow(head.requestId(), (flow) -> flow.handleHead(head, context(), nowMillis));
		}
		if (event instanceof AttemptBytesReceived bytes) {
			return handleBytes(bytes, nowMillis);
		}
		if (event instanceof AttemptEnded ended) {
			return applyToFlow(ended.requestId(), (flow) -> flow.handleAttemptEnd(ended, context(), nowMillis));
		}
		if (event instanceof JoinEnded ended) {
			return applyToFlow(ended.requestId(), (flow) -> flow.handleJoinEnd(ended, nowMillis));
		}
		if (event instanceof PeerMessageReceived received) {
			return handlePeerMessage(received.message(), nowMillis);
		}
		if (event instanceof PeerUnreachable unreachable) {
			return handleUnreachablePeer(unreachable.message(), nowMillis);
		}
		return dispatchFleetEvent(event, nowMillis);
	}

	private List<NodeAction> dispatchFleetEvent(NodeEvent event, long nowMillis) {
		if (event instanceof Tick) {
			return tick(nowMillis);
		}
		if (event instanceof CatalogueChanged changed) {
			this.catalogue = changed.snapshot();
			this.shardRanking = new ShardRanking(this.catalogue);
		}
		if (event instanceof OwnershipChanged changed) {
			this.ownership = changed.ownership();
			this.nextRenewalMillis = nowMillis;
			return applyToAllFlows((flow) -> flow.handleOwnershipChange(context(), nowMillis));
		}
		if (event instanceof DrainRequested requested) {
			this.draining = true;
			this.lastBusyMillis = nowMillis;
			this.drainDeadlineMillis = requested.deadlineMillis();
		}
		return List.of();
	}

	private List<NodeAction> handleArrival(RequestArrived arrived, long nowMillis) {
		Optional<Refusal> refusal = RequestCheck.findRefusal(arrived.request(), this.catalogue);
		if (refusal.isPresent()) {
			return List.of(new RefuseRequest(arrived.requestId(), refusal.get()));
		}
		this.budgets.addRequest();
		this.lastBusyMillis = nowMillis;
		AcceptedRequest accepted = RequestCheck.accept(arrived.requestId(), arrived.request(), this.catalogue);
		this.flows.put(arrived.requestId(), new RequestFlow(accepted, nowMillis));
		return applyToFlow(arrived.requestId(), (flow) -> flow.start(context(), nowMillis));
	}

	private List<NodeAction> handleBytes(AttemptBytesReceived bytes, long nowMillis) {
		RequestFlow flow = this.flows.get(bytes.requestId());
		if (flow != null) {
			flow.handleBytes(bytes.attempt(), bytes.totalBytes(), context(), nowMillis);
		}
		return List.of();
	}

	private List<NodeAction> handlePeerMessage(PeerMessage message, long nowMillis) {
		if (message instanceof ClaimReply reply) {
			return applyToFlow(reply.requestId(), (flow) -> flow.handleClaimReply(reply, context(), nowMillis));
		}
		if (message instanceof GrantReply reply) {
			return handleGrantReply(reply, nowMillis);
		}
		return List.of();
	}

	private List<NodeAction> handleGrantReply(GrantReply reply, long nowMillis) {
		if (!this.flows.containsKey(reply.requestId())) {
			return (reply.grantId() != 0) ? GrantReleases.releaseUnused(reply, context()) : List.of();
		}
		return applyToFlow(reply.requestId(), (flow) -> flow.handleGrantReply(reply, context(), nowMillis));
	}

	private List<NodeAction> handleUnreachablePeer(PeerMessage message, long nowMillis) {
		if (message instanceof GrantRequest request && this.flows.containsKey(request.requestId())) {
			this.flows.get(request.requestId()).handleUnreachableShardOwner(request.attempt(), nowMillis);
		}
		if (message instanceof ClaimRequest request && this.flows.containsKey(request.requestId())) {
			this.flows.get(request.requestId()).handleUnreachablePartitionOwner(nowMillis);
		}
		return List.of();
	}

	private List<NodeAction> tick(long nowMillis) {
		if (!this.flows.isEmpty()) {
			this.lastBusyMillis = nowMillis;
		}
		List<NodeAction> actions = applyToAllFlows((flow) -> flow.tick(context(), nowMillis));
		if (nowMillis >= this.nextRenewalMillis) {
			this.nextRenewalMillis = nowMillis + RENEWAL_INTERVAL_MILLIS;
			actions.addAll(renewGrants());
		}
		if (isDrained(nowMillis)) {
			this.drainFinished = true;
			actions.add(new DrainFinished());
		}
		return actions;
	}

	private boolean isDrained(long nowMillis) {
		// The load balancer keeps sending requests until it notices that the router is no
		// longer ready, so the router waits until it has been idle for a while.
		boolean isIdle = nowMillis - this.lastBusyMillis >= DRAIN_IDLE_MILLIS;
		return this.draining && !this.drainFinished && (isIdle || nowMillis >= this.drainDeadlineMillis);
	}

	private List<NodeAction> renewGrants() {
		Map<ShardId, List<HeldGrant>> heldGrants = new TreeMap<>();
		for (RequestFlow flow : this.flows.values()) {
			flow.attempts()
				.heldGrants()
				.forEach((grant) -> heldGrants
					.computeIfAbsent(flow.attempts().shardOf(grant, context()), (key) -> new ArrayList<>())
					.add(grant));
		}
		List<NodeAction> actions = new ArrayList<>();
		heldGrants.forEach((shard, grants) -> this.ownership.shardOwner(shard)
			.ifPresent((owner) -> actions.add(new SendPeer(owner, new GrantRenewal(shard, grants)))));
		return actions;
	}

	private List<NodeAction> applyToAllFlows(Function<RequestFlow, List<NodeAction>> step) {
		List<NodeAction> actions = new ArrayList<>();
		for (RequestId id : List.copyOf(this.flows.keySet())) {
			actions.addAll(applyToFlow(id, step));
		}
		return actions;
	}

	private List<NodeAction> applyToFlow(RequestId id, Function<RequestFlow, List<NodeAction>> step) {
		RequestFlow flow = this.flows.get(id);
		if (flow == null) {
			return List.of();
		}
		List<NodeAction> actions = step.apply(flow);
		if (flow.isFinished()) {
			this.flows.remove(id);
		}
		return actions;
	}

	private FlowContext context() {
		return new FlowContext(this.self, this.catalogue, this.shardRanking, this.ownership, this.budgets,
				this.firstTokenTimes);
	}

}
