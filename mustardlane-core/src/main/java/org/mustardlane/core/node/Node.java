package org.mustardlane.core.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.mustardlane.core.admission.AdmissionHandler;
import org.mustardlane.core.admission.AdmissionSettings;
import org.mustardlane.core.catalogue.CatalogueHandler;
import org.mustardlane.core.catalogue.HistoryRow;
import org.mustardlane.core.claim.ClaimHandler;
import org.mustardlane.core.event.AttemptBytesReceived;
import org.mustardlane.core.event.AttemptEnded;
import org.mustardlane.core.event.AttemptHeadReceived;
import org.mustardlane.core.event.AttemptSending;
import org.mustardlane.core.event.DrainRequested;
import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.RaiseEvent;
import org.mustardlane.core.event.RecordEvent;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.VmListRead;
import org.mustardlane.core.execution.RequestHandler;
import org.mustardlane.core.membership.MembershipHandler;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;
import org.mustardlane.core.model.membership.VmHeartbeat;
import org.mustardlane.core.order.OrderHandler;

/**
 * The core of a router without input and output: turns each event into the actions to
 * carry out.
 *
 * <p>
 * Thread-safe. Events of the same request must be passed one after another, in the order
 * in which they occurred; all other events may be passed concurrently. The handlers run
 * one after another, and no lock is held between them. Events that a handler raises and
 * messages to this router itself are handled before {@link #handle} returns.
 */
public final class Node implements EventHandler {

	private final NodeSettings settings;

	private final MembershipHandler membership;

	private final CatalogueHandler catalogue;

	private final RequestHandler requests;

	private final AdmissionHandler admission;

	private final List<EventHandler> handlers;

	private final ActionTimeline timeline;

	private final AtomicReference<Ownership> ownership;

	private final AtomicLong lastPlatformContactMillis = new AtomicLong();

	private final AtomicLong lastEventMillis = new AtomicLong();

	private volatile boolean draining;

	/**
	 * Creates a node.
	 * @param settings the startup settings
	 */
	public Node(NodeSettings settings) {
		this.settings = settings;
		Ownership initialOwnership = new Ownership(settings.self(), settings.domain(), Map.of());
		VmHeartbeat heartbeat = new VmHeartbeat(settings.self(), settings.domain(), settings.incarnationMillis(), 0,
				false, settings.host(), settings.peerPort(), 0, 0);
		this.ownership = new AtomicReference<>(initialOwnership);
		this.membership = new MembershipHandler(heartbeat, settings.seed());
		this.catalogue = new CatalogueHandler(settings.self());
		this.requests = new RequestHandler(initialOwnership);
		this.admission = new AdmissionHandler(settings.self(), settings.incarnationMillis(),
				AdmissionSettings.defaults(settings.admissionPolicy(), settings.seed()));
		ClaimHandler claims = new ClaimHandler(settings.self(), settings.incarnationMillis());
		OrderHandler orders = new OrderHandler(settings.self(), settings.incarnationMillis());
		this.timeline = new ActionTimeline(settings.self(), settings.domain());
		this.handlers = List.of(this.membership, this.catalogue, this.admission, claims, orders, this.requests);
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		List<NodeAction> outgoing = new ArrayList<>();
		Deque<NodeEvent> pending = new ArrayDeque<>();
		pending.add(event);
		while (!pending.isEmpty()) {
			NodeEvent current = pending.remove();
			updateStatus(current, nowMillis);
			this.timeline.describe(current, nowMillis).map(RecordEvent::new).ifPresent(outgoing::add);
			for (EventHandler handler : handlersFor(current)) {
				handler.handle(current, nowMillis)
					.forEach((action) -> dispatchAction(action, nowMillis, outgoing, pending));
			}
		}
		return outgoing;
	}

	private List<EventHandler> handlersFor(NodeEvent event) {
		boolean isAttemptEvent = event instanceof AttemptBytesReceived || event instanceof AttemptHeadReceived
				|| event instanceof AttemptSending || event instanceof AttemptEnded;
		return isAttemptEvent ? List.of(this.requests) : this.handlers;
	}

	private void dispatchAction(NodeAction action, long nowMillis, List<NodeAction> outgoing,
			Deque<NodeEvent> pending) {
		if (action instanceof RaiseEvent raised) {
			pending.add(raised.event());
			return;
		}
		if (action instanceof SendPeer send && send.peer().equals(this.settings.self())) {
			pending.add(new PeerMessageReceived(this.settings.self(), send.message()));
			return;
		}
		this.timeline.describe(action, nowMillis).map(RecordEvent::new).ifPresent(outgoing::add);
		outgoing.add(action);
	}

	private void updateStatus(NodeEvent event, long nowMillis) {
		this.lastEventMillis.accumulateAndGet(nowMillis, Math::max);
		if (event instanceof OwnershipChanged changed) {
			this.ownership.set(changed.ownership());
		}
		if (event instanceof LogRecordsRead || event instanceof VmListRead || event instanceof LogAppendEnded) {
			this.lastPlatformContactMillis.set(nowMillis);
		}
		if (event instanceof DrainRequested) {
			this.draining = true;
		}
	}

	/**
	 * Returns the catalogue that is effective on this router.
	 * @return the catalogue
	 */
	public CatalogueSnapshot catalogue() {
		return this.catalogue.snapshot();
	}

	/**
	 * Returns the newest catalogue changes that this router has read from the log.
	 * @return the changes, oldest first
	 */
	public List<HistoryRow> catalogueHistory() {
		return this.catalogue.history();
	}

	/**
	 * Returns a catalogue as YAML, in the format of a catalogue change whose base is that
	 * revision, so that it can be edited and published.
	 * @param revision the revision, 0 for the newest
	 * @return the YAML, or empty if the revision is no longer kept
	 */
	public Optional<String> catalogueYaml(long revision) {
		return this.catalogue.toYaml(revision);
	}

	/**
	 * Returns the newest heartbeat of another router.
	 * @param vm the VM of the other router
	 * @return the heartbeat, which includes the address, or empty if the router is
	 * unknown
	 */
	public Optional<VmHeartbeat> findPeer(VmId vm) {
		return this.membership.find(vm);
	}

	/**
	 * Returns the state of this node and its view of the fleet.
	 * @return the status
	 */
	public NodeStatus status() {
		Ownership currentOwnership = this.ownership.get();
		Map<ShardId, VmId> owners = new TreeMap<>();
		catalogue().shards()
			.keySet()
			.forEach((shard) -> currentOwnership.shardOwner(shard).ifPresent((owner) -> owners.put(shard, owner)));
		return new NodeStatus(this.settings, catalogue().revision(), this.draining, this.requests.requestsInFlight(),
				this.lastPlatformContactMillis.get(), this.membership.peerHeartbeats(),
				this.membership.livePeers(this.lastEventMillis.get()), owners,
				this.admission.ownedShardLoads(this.lastEventMillis.get()));
	}

}
