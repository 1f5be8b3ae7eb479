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
import org.mustardlane.core.message.ClaimAnswer;
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

	private static final int READ_LIMIT = 50;

	final FakeLog log = new FakeLog();

	final List<ClaimAnswer> answers = new ArrayList<>();

	final List<RecordEvent> events = new ArrayList<>();

	Supplier<FakeLog.Fault> fault = () -> FakeLog.Fault.NONE;

	long lateEffectMillis = 10_000;

	boolean readable = true;

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

	void freeze(VmId vm, boolean frozen) {
		this.routers.get(vm).frozen = frozen;
	}

	boolean isFrozen(VmId vm) {
		return this.routers.get(vm).frozen;
	}

	/**
	 * Sets the routers that a router considers alive.
	 */
	void view(VmId vm, VmId... live) {
		Map<VmId, DomainId> domains = new HashMap<>();
		Arrays.stream(live).forEach((other) -> domains.put(other, DOMAIN));
		deliver(vm, new OwnershipChanged(new Ownership(vm, DOMAIN, domains)));
	}

	void send(VmId from, VmId to, PeerMessage message) {
		deliver(to, new PeerMessageReceived(from, message));
	}

	private void deliver(VmId vm, NodeEvent event) {
		Router router = this.routers.get(vm);
		router.inbox.add(event);
		work(router);
	}

	/**
	 * Advances the simulated time in steps of ten milliseconds.
	 */
	void pass(long millis) {
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
		work(router);
		for (StreamName stream : List.copyOf(router.followed.keySet())) {
			router.inbox.add(read(router, stream));
			work(router);
		}
	}

	private NodeEvent read(Router router, StreamName stream) {
		if (!this.readable) {
			return new LogReadFailed(stream, "out of reach");
		}
		LogRecordsRead read = this.log.read(stream, router.followed.get(stream), READ_LIMIT);
		router.followed.put(stream, read.nextOffset());
		return read;
	}

	private void work(Router router) {
		while (!router.frozen && !router.inbox.isEmpty()) {
			for (NodeAction action : router.handler.handle(router.inbox.poll(), this.nowMillis + router.skewMillis)) {
				act(router, action);
			}
		}
	}

	private void act(Router router, NodeAction action) {
		if (action instanceof AppendLog append) {
			long effectMillis = this.nowMillis + this.lateEffectMillis;
			router.inbox.add(this.log.append(append, this.fault.get(), this.nowMillis, effectMillis));
		}
		else if (action instanceof FollowStream follow) {
			router.followed.put(follow.stream(), follow.fromOffset());
		}
		else if (action instanceof UnfollowStream unfollow) {
			router.followed.remove(unfollow.stream());
		}
		else if (action instanceof SendPeer send) {
			this.answers.add((ClaimAnswer) send.message());
		}
		else if (action instanceof RecordEvent event) {
			this.events.add(event);
		}
	}

	/**
	 * Drops the subscriptions of a router, as a delayed action to unfollow does.
	 */
	void loseFollowed(VmId vm) {
		this.routers.get(vm).followed.clear();
	}

	boolean follows(VmId vm, StreamName stream) {
		return this.routers.get(vm).followed.containsKey(stream);
	}

	void follow(VmId vm, StreamName stream) {
		this.routers.get(vm).followed.put(stream, 1L);
	}

	void skew(VmId vm, long skewMillis) {
		this.routers.get(vm).skewMillis = skewMillis;
	}

	private static final class Router {

		private final ClaimHandler handler;

		private final Deque<NodeEvent> inbox = new ArrayDeque<>();

		private final Map<StreamName, Long> followed = new TreeMap<>(
				(one, other) -> one.value().compareTo(other.value()));

		private boolean frozen;

		private long skewMillis;

		private Router(ClaimHandler handler) {
			this.handler = handler;
		}

	}

}
