package org.mustardlane.core.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.LogReadFailed;
import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.RecordEvent;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.event.UnfollowStream;
import org.mustardlane.core.message.ClaimReply;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.membership.Ownership;

/**
 * Several claim handlers that share one {@link FakeLog} and a simulated clock.
 */
final class FakeRouters {

	static final DomainId DOMAIN = new DomainId("domain");

	private static final int MAX_READ_RECORDS = 50;

	final FakeLog log = new FakeLog();

	final List<ClaimReply> replies = new ArrayList<>();

	final List<RecordEvent> events = new ArrayList<>();

	Supplier<FakeLog.Fault> appendFault = () -> FakeLog.Fault.NONE;

	long appendDelayMillis = 10_000;

	boolean isLogReadable = true;

	long nowMillis = 1_000_000;

	private final Map<VmId, Router> routers = new TreeMap<>();

	private final ClaimSettings settings;

	FakeRouters(ClaimSettings settings, String... vms) {
		this.settings = settings;
		Arrays.stream(vms).map(VmId::new).forEach(this::start);
	}

	void start(VmId vm) {
		this.routers.put(vm, new Router(new ClaimHandler(vm, this.nowMillis, this.settings)));
	}

	List<VmId> vms() {
		return List.copyOf(this.routers.keySet());
	}

	void setFrozen(VmId vm, boolean frozen) {
		this.routers.get(vm).frozen = frozen;
	}

	boolean isFrozen(VmId vm) {
		return this.routers.get(vm).frozen;
	}

	/**
	 * Sets the routers that a router considers alive.
	 */
	void setLiveRouters(VmId vm, VmId... liveVms) {
		Map<VmId, DomainId> domains = new HashMap<>();
		Arrays.stream(liveVms).forEach((other) -> domains.put(other, DOMAIN));
		deliver(vm, new OwnershipChanged(new Ownership(vm, DOMAIN, domains)));
	}

	void send(VmId from, VmId to, PeerMessage message) {
		deliver(to, new PeerMessageReceived(from, message));
	}

	private void deliver(VmId vm, NodeEvent event) {
		Router router = this.routers.get(vm);
		router.inbox.add(event);
		processInbox(router);
	}

	/**
	 * Advances the simulated time in steps of ten milliseconds.
	 */
	void advance(long millis) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += 10;
			this.log.advance(this.nowMillis);
			this.routers.values().forEach(this::step);
		}
	}

	private void step(Router router) {
		if (router.frozen) {
			return;
		}
		router.inbox.add(new Tick());
		processInbox(router);
		for (StreamName stream : List.copyOf(router.nextOffsets.keySet())) {
			router.inbox.add(read(router, stream));
			processInbox(router);
		}
	}

	private NodeEvent read(Router router, StreamName stream) {
		if (!this.isLogReadable) {
			return new LogReadFailed(stream, "log unreachable");
		}
		LogRecordsRead read = this.log.read(stream, router.nextOffsets.get(stream), MAX_READ_RECORDS);
		router.nextOffsets.put(stream, read.nextOffset());
		return read;
	}

	private void processInbox(Router router) {
		while (!router.frozen && !router.inbox.isEmpty()) {
			for (NodeAction action : router.handler.handle(router.inbox.poll(), this.nowMillis + router.skewMillis)) {
				perform(router, action);
			}
		}
	}

	private void perform(Router router, NodeAction action) {
		if (action instanceof AppendLog append) {
			long appendAtMillis = this.nowMillis + this.appendDelayMillis;
			router.inbox.add(this.log.append(append, this.appendFault.get(), this.nowMillis, appendAtMillis));
		}
		else if (action instanceof FollowStream follow) {
			router.nextOffsets.put(follow.stream(), follow.fromOffset());
		}
		else if (action instanceof UnfollowStream unfollow) {
			router.nextOffsets.remove(unfollow.stream());
		}
		else if (action instanceof SendPeer send) {
			this.replies.add((ClaimReply) send.message());
		}
		else if (action instanceof RecordEvent event) {
			this.events.add(event);
		}
	}

	/**
	 * Drops the subscriptions of a router, as a delayed action to unfollow does.
	 */
	void dropSubscriptions(VmId vm) {
		this.routers.get(vm).nextOffsets.clear();
	}

	boolean isFollowing(VmId vm, StreamName stream) {
		return this.routers.get(vm).nextOffsets.containsKey(stream);
	}

	void follow(VmId vm, StreamName stream) {
		this.routers.get(vm).nextOffsets.put(stream, 1L);
	}

	void setClockSkew(VmId vm, long skewMillis) {
		this.routers.get(vm).skewMillis = skewMillis;
	}

	private static final class Router {

		private final ClaimHandler handler;

		private final Deque<NodeEvent> inbox = new ArrayDeque<>();

		private final Map<StreamName, Long> nextOffsets = new TreeMap<>(
				(left, right) -> left.value().compareTo(right.value()));

		private boolean frozen;

		private long skewMillis;

		private Router(ClaimHandler handler) {
			this.handler = handler;
		}

	}

}
