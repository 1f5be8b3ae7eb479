package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.testng.Reporter;
import org.testng.annotations.Test;

import org.mustardlane.core.event.AppendResult;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.message.CatalogueRelay;
import org.mustardlane.core.message.Gossip;
import org.mustardlane.core.model.catalogue.PublishVerdict;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.membership.Ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of the selection of log readers and of the relay of records to the other routers.
 */
public class CatalogueReadingTests {

	private static final int CHANGE_COUNT = 50;

	private final Map<VmId, TestRouter> routers = new TreeMap<>();

	private FakeLog log;

	private long nowMillis;

	private long recordsRead;

	private long relayCount;

	private long relayBytes;

	private void startRouters(int routerCount, int domainCount, boolean ownershipKnown) {
		this.log = new FakeLog();
		this.nowMillis = 1_000;
		this.recordsRead = 0;
		this.relayCount = 0;
		this.relayBytes = 0;
		this.routers.clear();
		Map<VmId, DomainId> domainsByVm = new HashMap<>();
		for (int number = 0; number < routerCount; number++) {
			VmId vm = new VmId("vm-" + number);
			domainsByVm.put(vm, new DomainId("d" + number % domainCount));
			this.routers.put(vm, new TestRouter(vm.value(), this.log));
		}
		runRound();
		if (ownershipKnown) {
			this.routers.forEach((vm, router) -> router
				.handle(new OwnershipChanged(new Ownership(vm, domainsByVm.get(vm), domainsByVm)), this.nowMillis));
		}
		runRound();
		publish(this.routers.get(new VmId("vm-0")), "first", ChangeSamples.INITIAL_CATALOGUE);
		assertTrue(runRound());
	}

	private void publish(TestRouter router, String changeId, String yaml) {
		router.publish(changeId, yaml, Long.MAX_VALUE, this.nowMillis);
		router.performAppends(AppendResult.APPENDED, true, this.nowMillis);
	}

	private boolean runRound() {
		this.nowMillis += 100;
		this.routers.values().forEach((router) -> router.tick(this.nowMillis));
		this.routers.values().stream().filter(TestRouter::isSubscribed).forEach((router) -> {
			long historySize = router.handler.history().size();
			router.read(100, this.nowMillis);
			this.recordsRead += router.handler.history().size() - historySize;
		});
		this.routers.values().forEach(this::deliverMessages);
		this.routers.values().forEach((router) -> router.tick(this.nowMillis));
		long newestRevision = this.log.newestChangeOffset();
		return this.routers.values()
			.stream()
			.allMatch((router) -> router.handler.snapshot().revision() == newestRevision);
	}

	private void deliverMessages(TestRouter sender) {
		for (SendPeer send : sender.takeActions(SendPeer.class)) {
			if (send.message() instanceof CatalogueRelay relay) {
				this.relayCount++;
				this.relayBytes += relay.records().stream().mapToLong((record) -> record.body().length).sum();
			}
			this.routers.get(send.peer()).handle(new PeerMessageReceived(sender.vm, send.message()), this.nowMillis);
		}
	}

	private long subscriberCount() {
		return this.routers.values().stream().filter(TestRouter::isSubscribed).count();
	}

	private TestRouter findRouter(boolean subscribed) {
		return this.routers.values()
			.stream()
			.filter((router) -> router.isSubscribed() == subscribed)
			.findFirst()
			.orElseThrow();
	}

	private void publishAndMeasure(int routerCount, int domainCount, boolean ownershipKnown) {
		startRouters(routerCount, domainCount, ownershipKnown);
		long recordsReadBefore = this.recordsRead;
		this.relayCount = 0;
		this.relayBytes = 0;
		for (int change = 0; change < CHANGE_COUNT; change++) {
			TestRouter router = this.routers.get(new VmId("vm-" + change % routerCount));
			publish(router, "c" + change, ChangeSamples.entry("n" + change, 0, 100));
			assertTrue(runRound(), "the change is not in force on all routers after one read and one relay");
			assertEquals(router.takeResults().get(0).verdict(), PublishVerdict.ACCEPTED);
		}
		Reporter.log(
				"%d routers, %d domains, %s: %d subscribed to the log, per change %.1f records read, %.1f relays, %d bytes relayed"
					.formatted(routerCount, domainCount, ownershipKnown ? "two readers per domain" : "all routers read",
							subscriberCount(), (this.recordsRead - recordsReadBefore) / (double) CHANGE_COUNT,
							this.relayCount / (double) CHANGE_COUNT, this.relayBytes / CHANGE_COUNT),
				true);
	}

	@Test
	public void numberOfReadersIsIndependentOfTheNumberOfRouters() {
		for (int routerCount : new int[] { 30, 120, 360 }) {
			publishAndMeasure(routerCount, 10, true);
			assertEquals(subscriberCount(), 20);
			assertTrue(this.recordsRead <= 22 * (CHANGE_COUNT + 1), "records read: " + this.recordsRead);
			assertTrue(this.relayCount <= 2L * routerCount * CHANGE_COUNT);
		}
	}

	@Test
	public void allRoutersReadWhileTheFleetIsUnknown() {
		publishAndMeasure(15, 3, false);
		assertEquals(subscriberCount(), 15);
		publishAndMeasure(360, 10, false);
		assertEquals(subscriberCount(), 360);
		publishAndMeasure(15, 3, true);
		assertEquals(subscriberCount(), 6);
	}

	@Test
	public void relayReceiverReadsUntilItsOwnPublishHasAResult() {
		startRouters(9, 1, true);
		TestRouter receiver = findRouter(false);
		receiver.publish("c", ChangeSamples.entry("n", 0, 100), Long.MAX_VALUE, this.nowMillis);
		assertTrue(receiver.isSubscribed());
		receiver.performAppends(AppendResult.APPENDED, true, this.nowMillis);
		runRound();
		assertEquals(receiver.takeResults().get(0).verdict(), PublishVerdict.ACCEPTED);
		assertFalse(receiver.isSubscribed());
	}

	@Test
	public void relayReceiverRequestsALostRelay() {
		startRouters(9, 1, true);
		TestRouter reader = findRouter(true);
		TestRouter receiver = findRouter(false);
		publish(reader, "c1", ChangeSamples.entry("n1", 0, 100));
		reader.read(100, this.nowMillis);
		reader.takeActions(SendPeer.class);
		publish(reader, "c2", ChangeSamples.entry("n2", 0, 100));
		reader.read(100, this.nowMillis);
		deliverMessages(reader);
		assertEquals(receiver.handler.snapshot().revision(), 1);
		deliverMessages(receiver);
		deliverMessages(reader);
		assertEquals(receiver.handler.snapshot().revision(), 3);
	}

	@Test
	public void relayReceiverReadsTheLogIfItsReadersSendNoRelays() {
		startRouters(9, 1, true);
		TestRouter receiver = findRouter(false);
		this.log.append(this.log.read(1, 1).records().stream().map(CatalogueReadingTests::differentChange).toList(), 0);
		Gossip gossip = new Gossip(List.of(), 2, 0, List.of());
		receiver.handle(new PeerMessageReceived(new VmId("vm-x"), gossip), this.nowMillis);
		receiver.tick(this.nowMillis + 999);
		assertFalse(receiver.isSubscribed());
		receiver.tick(this.nowMillis + 1_000);
		assertTrue(receiver.isSubscribed());
		receiver.read(100, this.nowMillis + 1_000);
		receiver.tick(this.nowMillis + 1_001);
		assertFalse(receiver.isSubscribed());
		assertEquals(receiver.handler.snapshot().revision(), 2);
	}

	private static RecordBody differentChange(LogRecord firstRecord) {
		CatalogueDelta delta = ChangeParser.parse(ChangeSamples.entry("other", 0, 100)).delta().orElseThrow();
		return new RecordBody(firstRecord.type(), RecordCodec.encode(new PublishedChange("other", "bob", 0, delta)));
	}

	@Test
	public void drainingRouterReadsTheLog() {
		startRouters(9, 1, true);
		TestRouter receiver = findRouter(false);
		List<VmId> otherVms = new ArrayList<>(this.routers.keySet());
		otherVms.remove(receiver.vm);
		Map<VmId, DomainId> otherRouters = new HashMap<>();
		otherVms.forEach((vm) -> otherRouters.put(vm, new DomainId("d0")));
		receiver.handle(new OwnershipChanged(new Ownership(receiver.vm, new DomainId("d0"), otherRouters)),
				this.nowMillis);
		receiver.tick(this.nowMillis);
		assertTrue(receiver.isSubscribed());
	}

}
