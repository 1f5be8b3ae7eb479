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
 * Tests of which routers read the log, and of how the others hear of changes.
 */
public class CatalogueReadingTests {

	private static final int CHANGES = 50;

	private final Map<VmId, TestRouter> routers = new TreeMap<>();

	private FakeLog log;

	private long nowMillis;

	private long readRecords;

	private long relays;

	private long relayBytes;

	private void begin(int count, int domains, boolean ownershipKnown) {
		this.log = new FakeLog();
		this.nowMillis = 1_000;
		this.readRecords = 0;
		this.relays = 0;
		this.relayBytes = 0;
		this.routers.clear();
		Map<VmId, DomainId> all = new HashMap<>();
		for (int number = 0; number < count; number++) {
			VmId vm = new VmId("vm-" + number);
			all.put(vm, new DomainId("d" + number % domains));
			this.routers.put(vm, new TestRouter(vm.value(), this.log));
		}
		round();
		if (ownershipKnown) {
			this.routers.forEach((vm, router) -> router
				.handle(new OwnershipChanged(new Ownership(vm, all.get(vm), all)), this.nowMillis));
		}
		round();
		publish(this.routers.get(new VmId("vm-0")), "first", ChangeSamples.FIRST);
		assertTrue(round());
	}

	private void publish(TestRouter router, String changeId, String yaml) {
		router.publish(changeId, yaml, Long.MAX_VALUE, this.nowMillis);
		router.append(AppendResult.APPENDED, true, this.nowMillis);
	}

	private boolean round() {
		this.nowMillis += 100;
		this.routers.values().forEach((router) -> router.tick(this.nowMillis));
		this.routers.values().stream().filter(TestRouter::isReading).forEach((router) -> {
			long before = router.handler.history().size();
			router.read(100, this.nowMillis);
			this.readRecords += router.handler.history().size() - before;
		});
		this.routers.values().forEach(this::deliver);
		this.routers.values().forEach((router) -> router.tick(this.nowMillis));
		long newest = this.log.newestChange();
		return this.routers.values().stream().allMatch((router) -> router.handler.snapshot().revision() == newest);
	}

	private void deliver(TestRouter sender) {
		for (SendPeer send : sender.take(SendPeer.class)) {
			if (send.message() instanceof CatalogueRelay relay) {
				this.relays++;
				this.relayBytes += relay.records().stream().mapToLong((record) -> record.body().length).sum();
			}
			this.routers.get(send.peer()).handle(new PeerMessageReceived(sender.vm, send.message()), this.nowMillis);
		}
	}

	private long reading() {
		return this.routers.values().stream().filter(TestRouter::isReading).count();
	}

	private TestRouter any(boolean reading) {
		return this.routers.values()
			.stream()
			.filter((router) -> router.isReading() == reading)
			.findFirst()
			.orElseThrow();
	}

	private void measure(int count, int domains, boolean ownershipKnown) {
		begin(count, domains, ownershipKnown);
		long startRecords = this.readRecords;
		this.relays = 0;
		this.relayBytes = 0;
		for (int change = 0; change < CHANGES; change++) {
			TestRouter router = this.routers.get(new VmId("vm-" + change % count));
			publish(router, "c" + change, ChangeSamples.entry("n" + change, 0, 100));
			assertTrue(round(), "not in force everywhere after one read and one relay");
			assertEquals(router.results().get(0).verdict(), PublishVerdict.ACCEPTED);
		}
		Reporter.log(
				"%d routers, %d domains, %s: %d follow the log, per change %.1f records read, %.1f relays, %d bytes relayed"
					.formatted(count, domains, ownershipKnown ? "two readers a domain" : "all read", reading(),
							(this.readRecords - startRecords) / (double) CHANGES, this.relays / (double) CHANGES,
							this.relayBytes / CHANGES),
				true);
	}

	@Test
	public void readsDoNotGrowWithTheNumberOfRouters() {
		for (int count : new int[] { 30, 120, 360 }) {
			measure(count, 10, true);
			assertEquals(reading(), 20);
			assertTrue(this.readRecords <= 22 * (CHANGES + 1), "read " + this.readRecords);
			assertTrue(this.relays <= 2L * count * CHANGES);
		}
	}

	@Test
	public void allReadWhileTheFleetIsUnknown() {
		measure(15, 3, false);
		assertEquals(reading(), 15);
		measure(360, 10, false);
		assertEquals(reading(), 360);
		measure(15, 3, true);
		assertEquals(reading(), 6);
	}

	@Test
	public void listenerReadsUntilItsOwnPublishIsSettled() {
		begin(9, 1, true);
		TestRouter listener = any(false);
		listener.publish("c", ChangeSamples.entry("n", 0, 100), Long.MAX_VALUE, this.nowMillis);
		assertTrue(listener.isReading());
		listener.append(AppendResult.APPENDED, true, this.nowMillis);
		round();
		assertEquals(listener.results().get(0).verdict(), PublishVerdict.ACCEPTED);
		assertFalse(listener.isReading());
	}

	@Test
	public void listenerAsksForALostRelay() {
		begin(9, 1, true);
		TestRouter reader = any(true);
		TestRouter listener = any(false);
		publish(reader, "c1", ChangeSamples.entry("n1", 0, 100));
		reader.read(100, this.nowMillis);
		reader.take(SendPeer.class);
		publish(reader, "c2", ChangeSamples.entry("n2", 0, 100));
		reader.read(100, this.nowMillis);
		deliver(reader);
		assertEquals(listener.handler.snapshot().revision(), 1);
		deliver(listener);
		deliver(reader);
		assertEquals(listener.handler.snapshot().revision(), 3);
	}

	@Test
	public void listenerReadsItselfWhereItsReadersAreSilent() {
		begin(9, 1, true);
		TestRouter listener = any(false);
		this.log.append(this.log.read(1, 1).records().stream().map(CatalogueReadingTests::other).toList(), 0);
		Gossip gossip = new Gossip(List.of(), 2, 0, List.of());
		listener.handle(new PeerMessageReceived(new VmId("vm-x"), gossip), this.nowMillis);
		listener.tick(this.nowMillis + 999);
		assertFalse(listener.isReading());
		listener.tick(this.nowMillis + 1_000);
		assertTrue(listener.isReading());
		listener.read(100, this.nowMillis + 1_000);
		listener.tick(this.nowMillis + 1_001);
		assertFalse(listener.isReading());
		assertEquals(listener.handler.snapshot().revision(), 2);
	}

	private static RecordBody other(LogRecord first) {
		CatalogueDelta delta = ChangeParser.parse(ChangeSamples.entry("other", 0, 100)).delta().orElseThrow();
		return new RecordBody(first.type(), RecordCodec.encode(new PublishedChange("other", "bob", 0, delta)));
	}

	@Test
	public void drainingRouterReadsItself() {
		begin(9, 1, true);
		TestRouter listener = any(false);
		List<VmId> rest = new ArrayList<>(this.routers.keySet());
		rest.remove(listener.vm);
		Map<VmId, DomainId> others = new HashMap<>();
		rest.forEach((vm) -> others.put(vm, new DomainId("d0")));
		listener.handle(new OwnershipChanged(new Ownership(listener.vm, new DomainId("d0"), others)), this.nowMillis);
		listener.tick(this.nowMillis);
		assertTrue(listener.isReading());
	}

}
