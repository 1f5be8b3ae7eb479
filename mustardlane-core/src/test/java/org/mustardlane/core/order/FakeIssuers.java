package org.mustardlane.core.order;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.mustardlane.core.claim.FakeLog;
import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OrderEnded;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PollTarget;
import org.mustardlane.core.event.SendOrder;
import org.mustardlane.core.event.TargetReported;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.event.UnfollowStream;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.membership.Ownership;
import org.mustardlane.core.model.order.OrderResult;
import org.mustardlane.core.model.target.LoadReport;

/**
 * Several order handlers that share one log and a pool of four engines. The first two
 * engines check the fencing number.
 */
final class FakeIssuers {

	private static final DomainId DOMAIN = new DomainId("domain");

	final FakeLog log = new FakeLog();

	final List<SentOrder> sentOrders = new ArrayList<>();

	final Map<TargetId, Integer> loads = new HashMap<>();

	Supplier<FakeLog.Fault> appendFault = () -> FakeLog.Fault.NONE;

	Supplier<OrderResult> orderResult = () -> OrderResult.DONE;

	boolean reportResults = true;

	boolean isLogReadable = true;

	long nowMillis = 1_000_000;

	private final OrderSettings settings;

	private final Map<VmId, FakeIssuer> issuers = new TreeMap<>();

	FakeIssuers(OrderSettings settings, VmId... vms) {
		this.settings = settings;
		for (VmId vm : vms) {
			start(vm);
		}
	}

	void start(VmId vm) {
		this.issuers.put(vm, new FakeIssuer(new OrderHandler(vm, this.nowMillis, this.settings)));
		deliver(vm, new CatalogueChanged(new CatalogueSnapshot(1, Map.of(), Map.of(), targets())));
	}

	private static Map<TargetId, Target> targets() {
		Map<TargetId, Target> targets = new HashMap<>();
		for (int number = 1; number <= 4; number++) {
			TargetId id = new TargetId("engine" + number);
			targets.put(id,
					new Target(id, new PoolId("pool"), TargetKind.ENGINE, DOMAIN, "127.0.0.1", number, 8, number <= 2));
		}
		return targets;
	}

	void setLiveRouters(VmId vm, VmId... liveVms) {
		Map<VmId, DomainId> domains = new HashMap<>();
		for (VmId other : liveVms) {
			domains.put(other, DOMAIN);
		}
		deliver(vm, new OwnershipChanged(new Ownership(vm, DOMAIN, domains)));
	}

	void setFrozen(VmId vm, boolean frozen) {
		this.issuers.get(vm).frozen = frozen;
	}

	void deliver(VmId vm, NodeEvent event) {
		this.issuers.get(vm).inbox.add(event);
		processInbox(this.issuers.get(vm));
	}

	void advance(long millis) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += 50;
			this.log.advance(this.nowMillis);
			this.issuers.values().stream().filter((issuer) -> !issuer.frozen).forEach(this::step);
		}
	}

	private void step(FakeIssuer issuer) {
		issuer.inbox.add(new Tick());
		processInbox(issuer);
		if (issuer.following && this.isLogReadable) {
			issuer.inbox.add(this.log.read(StreamName.ORDERS, issuer.nextOffset, 100));
			issuer.nextOffset = this.log.records(StreamName.ORDERS).size() + 1;
		}
		processInbox(issuer);
	}

	private void processInbox(FakeIssuer issuer) {
		while (!issuer.frozen && !issuer.inbox.isEmpty()) {
			for (NodeAction action : issuer.handler.handle(issuer.inbox.poll(), this.nowMillis)) {
				perform(issuer, action);
			}
		}
	}

	private void perform(FakeIssuer issuer, NodeAction action) {
		if (action instanceof AppendLog append) {
			issuer.inbox.add(this.log.append(append, this.appendFault.get(), this.nowMillis, this.nowMillis + 7_000));
		}
		else if (action instanceof FollowStream follow) {
			issuer.following = true;
			issuer.nextOffset = follow.fromOffset();
		}
		else if (action instanceof UnfollowStream) {
			issuer.following = false;
		}
		else if (action instanceof PollTarget poll) {
			int load = this.loads.getOrDefault(poll.target().id(), 0);
			issuer.inbox.add(new TargetReported(new LoadReport(poll.target().id(), this.nowMillis, load, 0, false)));
		}
		else if (action instanceof SendOrder order) {
			send(issuer, order);
		}
	}

	private void send(FakeIssuer issuer, SendOrder order) {
		OrderResult result = (this.nowMillis < order.sendBeforeMillis()) ? this.orderResult.get()
				: OrderResult.NOT_SENT;
		if (result != OrderResult.NOT_SENT && result != OrderResult.REFUSED) {
			this.sentOrders.add(new SentOrder(this.nowMillis, order));
		}
		if (this.reportResults) {
			issuer.inbox.add(new OrderEnded(order.order().decisionId(), order.fencingNumber(), result));
		}
	}

	/**
	 * An order that an engine has accepted.
	 *
	 * @param sentAtMillis time at which the order was sent
	 * @param order the action that sent the order
	 */
	record SentOrder(long sentAtMillis, SendOrder order) {

	}

	private static final class FakeIssuer {

		private final OrderHandler handler;

		private final Deque<NodeEvent> inbox = new ArrayDeque<>();

		private boolean following;

		private boolean frozen;

		private long nextOffset = 1;

		private FakeIssuer(OrderHandler handler) {
			this.handler = handler;
		}

	}

}
