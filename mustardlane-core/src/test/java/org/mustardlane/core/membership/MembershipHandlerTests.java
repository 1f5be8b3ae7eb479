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
import org.mustardlane.core.message.CatalogueRelayAsk;
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

	private static final long SETTLED_MILLIS = 10_000;

	private final Map<VmId, MembershipHandler> handlers = new TreeMap<>();

	private final Map<VmId, Ownership> views = new HashMap<>();

	private final Set<VmId> down = new HashSet<>();

	private long nowMillis;

	@BeforeMethod
	public void start() {
		this.handlers.clear();
		this.views.clear();
		this.down.clear();
		this.nowMillis = 0;
		for (int number = 0; number < ROUTERS; number++) {
			VmHeartbeat first = new VmHeartbeat(vm(number), domain(number), 1, 0, false, "127.0.0.1", 1, 0, 0);
			this.handlers.put(vm(number), new MembershipHandler(first, number));
		}
		this.handlers.keySet().forEach((vm) -> deliver(vm, new VmListRead(list())));
	}

	@Test
	public void ownsNothingBeforeHearingOfOthers() {
		deliver(vm(0), new Tick());
		assertFalse(this.views.containsKey(vm(0)));
	}

	@Test
	public void allAgreeOnOwnersAfterStart() {
		run(SETTLED_MILLIS);
		this.views.values().forEach((view) -> assertEquals(view.routers().size(), ROUTERS));
	}

	@Test
	public void takesItselfForAloneWhenNobodyAnswers() {
		this.handlers.keySet().stream().skip(1).forEach(this.down::add);
		run(SETTLED_MILLIS);
		assertEquals(this.views.get(vm(0)).routers().keySet(), Set.of(vm(0)));
	}

	@Test
	public void noticesDeathInOwnDomainWithinTwoSecondsAndElsewhereLater() {
		run(SETTLED_MILLIS);
		this.down.add(vm(0));
		run(2000);
		assertFalse(this.views.get(vm(DOMAINS)).routers().containsKey(vm(0)));
		run(SETTLED_MILLIS);
		live().forEach((view) -> assertFalse(view.routers().containsKey(vm(0))));
	}

	@Test
	public void unreachableRouterStaysDeadUntilItsHeartbeatGrows() {
		run(SETTLED_MILLIS);
		this.down.add(vm(1));
		deliver(vm(0), new PeerUnreachable(vm(1), new CatalogueRelayAsk(1)));
		assertFalse(this.views.get(vm(0)).routers().containsKey(vm(1)));
		run(2000);
		assertFalse(this.views.get(vm(0)).routers().containsKey(vm(1)));
	}

	@Test
	public void takesReturningRouterBack() {
		run(SETTLED_MILLIS);
		this.down.add(vm(0));
		run(SETTLED_MILLIS);
		this.down.remove(vm(0));
		run(SETTLED_MILLIS);
		live().forEach((view) -> assertTrue(view.routers().containsKey(vm(0))));
	}

	@Test
	public void drainingRouterOwnsNothing() {
		run(SETTLED_MILLIS);
		deliver(vm(0), new DrainRequested(Long.MAX_VALUE));
		run(SETTLED_MILLIS);
		this.views.values().forEach((view) -> assertFalse(view.routers().containsKey(vm(0))));
	}

	@Test
	public void cutDomainsGoOnWithTheirOwnRouters() {
		run(SETTLED_MILLIS);
		this.down.addAll(this.handlers.keySet().stream().filter((vm) -> !isInFirstDomain(vm)).toList());
		run(SETTLED_MILLIS);
		assertEquals(this.views.get(vm(0)).routers().keySet(), Set.of(vm(0), vm(DOMAINS)));
	}

	private boolean isInFirstDomain(VmId vm) {
		return vm.equals(vm(0)) || vm.equals(vm(DOMAINS));
	}

	private List<Ownership> live() {
		return this.views.entrySet()
			.stream()
			.filter((view) -> !this.down.contains(view.getKey()))
			.map(Map.Entry::getValue)
			.toList();
	}

	private void run(long millis) {
		for (long untilMillis = this.nowMillis + millis; this.nowMillis < untilMillis; this.nowMillis += STEP_MILLIS) {
			this.handlers.keySet().forEach((vm) -> deliver(vm, new Tick()));
		}
	}

	private void deliver(VmId receiver, NodeEvent event) {
		if (this.down.contains(receiver)) {
			return;
		}
		List<NodeAction> actions = new ArrayList<>(this.handlers.get(receiver).handle(event, this.nowMillis));
		for (NodeAction action : actions) {
			if (action instanceof SendPeer send) {
				deliver(send.peer(), new PeerMessageReceived(receiver, send.message()));
			}
			if (action instanceof RaiseEvent raised && raised.event() instanceof OwnershipChanged changed) {
				this.views.put(receiver, changed.ownership());
			}
		}
	}

	private static VmList list() {
		List<VmEntry> rows = new ArrayList<>();
		for (int number = 0; number < ROUTERS; number++) {
			rows.add(new VmEntry(vm(number), domain(number), "127.0.0.1", 1, VmState.LIVE));
		}
		return new VmList(1, rows);
	}

	private static VmId vm(int number) {
		return new VmId("vm-" + number);
	}

	private static DomainId domain(int number) {
		return new DomainId("domain-" + number % DOMAINS);
	}

}
