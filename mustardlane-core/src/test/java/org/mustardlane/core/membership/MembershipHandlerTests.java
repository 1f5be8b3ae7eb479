package org.mustardlane.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.mustardlane.core.event.DrainRequested;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.PeerUnreachable;
import org.mustardlane.core.event.RaiseEvent;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.event.VmListRead;
import org.mustardlane.core.message.CatalogueRelayRequest;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.membership.Ownership;
import org.mustardlane.core.model.membership.VmEntry;
import org.mustardlane.core.model.membership.VmHeartbeat;
import org.mustardlane.core.model.membership.VmList;
import org.mustardlane.core.model.membership.VmState;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link MembershipHandler}. Six routers in three failure domains exchange
 * messages, which are delivered at once.
 */
public class MembershipHandlerTests {

	private static final int ROUTERS = 6;

	private static final int DOMAINS = 3;

	private static final long STEP_MILLIS = 100;

	private static final long SETTLE_MILLIS = 10_000;

	private final Map<VmId, MembershipHandler> handlers = new TreeMap<>();

	private final Map<VmId, Ownership> ownershipByRouter = new HashMap<>();

	private final Set<VmId> stoppedRouters = new HashSet<>();

	private long nowMillis;

	@BeforeMethod
	public void startRouters() {
		this.handlers.clear();
		this.ownershipByRouter.clear();
		this.stoppedRouters.clear();
		this.nowMillis = 0;
		for (int number = 0; number < ROUTERS; number++) {
			VmHeartbeat firstHeartbeat = new VmHeartbeat(vm(number), domain(number), 1, 0, false, "127.0.0.1", 1, 0, 0);
			this.handlers.put(vm(number), new MembershipHandler(firstHeartbeat, number));
		}
		this.handlers.keySet().forEach((vm) -> deliver(vm, new VmListRead(vmList())));
	}

	@Test
	public void ownsNothingBeforeItKnowsOtherLiveRouters() {
		deliver(vm(0), new Tick());
		assertFalse(this.ownershipByRouter.containsKey(vm(0)));
	}

	@Test
	public void allRoutersAgreeOnOwnershipAfterStart() {
		run(SETTLE_MILLIS);
		this.ownershipByRouter.values().forEach((ownership) -> assertEquals(ownership.routers().size(), ROUTERS));
	}

	@Test
	public void assumesToBeAloneWithoutOtherLiveRouters() {
		this.handlers.keySet().stream().skip(1).forEach(this.stoppedRouters::add);
		run(SETTLE_MILLIS);
		assertEquals(this.ownershipByRouter.get(vm(0)).routers().keySet(), Set.of(vm(0)));
	}

	@Test
	public void detectsDeadRouterOfOwnDomainWithinTwoSecondsAndOfOtherDomainsLater() {
		run(SETTLE_MILLIS);
		this.stoppedRouters.add(vm(0));
		run(2000);
		assertFalse(this.ownershipByRouter.get(vm(DOMAINS)).routers().containsKey(vm(0)));
		run(SETTLE_MILLIS);
		liveOwnerships().forEach((ownership) -> assertFalse(ownership.routers().containsKey(vm(0))));
	}

	@Test
	public void unreachableRouterStaysDeadUntilItsCounterGrows() {
		run(SETTLE_MILLIS);
		this.stoppedRouters.add(vm(1));
		deliver(vm(0), new PeerUnreachable(vm(1), new CatalogueRelayRequest(1)));
		assertFalse(this.ownershipByRouter.get(vm(0)).routers().containsKey(vm(1)));
		run(2000);
		assertFalse(this.ownershipByRouter.get(vm(0)).routers().containsKey(vm(1)));
	}

	@Test
	public void acceptsRouterThatReturns() {
		run(SETTLE_MILLIS);
		this.stoppedRouters.add(vm(0));
		run(SETTLE_MILLIS);
		this.stoppedRouters.remove(vm(0));
		run(SETTLE_MILLIS);
		liveOwnerships().forEach((ownership) -> assertTrue(ownership.routers().containsKey(vm(0))));
	}

	@Test
	public void drainingRouterOwnsNothing() {
		run(SETTLE_MILLIS);
		deliver(vm(0), new DrainRequested(Long.MAX_VALUE));
		run(SETTLE_MILLIS);
		this.ownershipByRouter.values().forEach((ownership) -> assertFalse(ownership.routers().containsKey(vm(0))));
	}

	@Test
	public void isolatedDomainKeepsItsOwnRouters() {
		run(SETTLE_MILLIS);
		this.stoppedRouters.addAll(this.handlers.keySet().stream().filter((vm) -> !isInFirstDomain(vm)).toList());
		run(SETTLE_MILLIS);
		assertEquals(this.ownershipByRouter.get(vm(0)).routers().keySet(), Set.of(vm(0), vm(DOMAINS)));
	}

	private boolean isInFirstDomain(VmId vm) {
		return vm.equals(vm(0)) || vm.equals(vm(DOMAINS));
	}

	private List<Ownership> liveOwnerships() {
		return this.ownershipByRouter.entrySet()
			.stream()
			.filter((entry) -> !this.stoppedRouters.contains(entry.getKey()))
			.map(Map.Entry::getValue)
			.toList();
	}

	private void run(long millis) {
		for (long endMillis = this.nowMillis + millis; this.nowMillis < endMillis; this.nowMillis += STEP_MILLIS) {
			this.handlers.keySet().forEach((vm) -> deliver(vm, new Tick()));
		}
	}

	private void deliver(VmId receiver, NodeEvent event) {
		if (this.stoppedRouters.contains(receiver)) {
			return;
		}
		List<NodeAction> actions = new ArrayList<>(this.handlers.get(receiver).handle(event, this.nowMillis));
		for (NodeAction action : actions) {
			if (action instanceof SendPeer sendPeer) {
				deliver(sendPeer.peer(), new PeerMessageReceived(receiver, sendPeer.message()));
			}
			if (action instanceof RaiseEvent raiseEvent
					&& raiseEvent.event() instanceof OwnershipChanged ownershipChanged) {
				this.ownershipByRouter.put(receiver, ownershipChanged.ownership());
			}
		}
	}

	private static VmList vmList() {
		List<VmEntry> entries = new ArrayList<>();
		for (int number = 0; number < ROUTERS; number++) {
			entries.add(new VmEntry(vm(number), domain(number), "127.0.0.1", 1, VmState.LIVE));
		}
		return new VmList(1, entries);
	}

	private static VmId vm(int number) {
		return new VmId("vm-" + number);
	}

	private static DomainId domain(int number) {
		return new DomainId("domain-" + number % DOMAINS);
	}

}
