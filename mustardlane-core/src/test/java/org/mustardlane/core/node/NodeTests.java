package org.mustardlane.core.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.testng.annotations.Test;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.AppendResult;
import org.mustardlane.core.event.AttemptEnded;
import org.mustardlane.core.event.FinishAnswer;
import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.PublishEnded;
import org.mustardlane.core.event.PublishRequested;
import org.mustardlane.core.event.RequestArrived;
import org.mustardlane.core.event.StartAttempt;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.model.catalogue.CatalogueChange;
import org.mustardlane.core.model.catalogue.PublishVerdict;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.AttemptResult;
import org.mustardlane.core.model.execution.CallerRequest;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.RecordBody;
import org.mustardlane.core.model.log.StreamName;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link Node} with a single router and a simulated log.
 */
public class NodeTests {

	private static final long STARTUP_MILLIS = 4000;

	private static final long TICK_INTERVAL_MILLIS = 10;

	private static final long TAKEOVER_WAIT_MILLIS = 5000;

	private static final String CATALOGUE = """
			organisations:
			  - id: organisation-1
			    keyDigest: '2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b'
			    concurrencyLimit: 10
			    weight: 1
			targets:
			  - {id: engine-1, pool: pool, kind: ENGINE, domain: domain-1, host: 127.0.0.1, port: 9001, slots: 4, checksFencing: true}
			entries:
			  - name: release
			    owner: organisation-1
			    serviceClass: URGENT
			    pool: pool
			    idempotent: false
			    streaming: false
			    path: /release
			    bodyLimitBytes: 1000
			    answerLimitMillis: 10000
			    expectedWorkMillis: 100
			    loadBoundPercent: 125
			""";

	private final List<TimedEvent> timedEvents = new ArrayList<>();

	private final Map<StreamName, List<LogRecord>> log = new HashMap<>();

	private Node node = createNode();

	@Test
	public void answersClaimedRequestAfterCatalogueIsPublished() {
		List<NodeAction> actions = runScenario();
		assertEquals(findOnly(actions, PublishEnded.class).result().verdict(), PublishVerdict.ACCEPTED);
		assertEquals(findOnly(actions, StartAttempt.class).target().id().value(), "engine-1");
		assertEquals(findOnly(actions, FinishAnswer.class).requestId(), new RequestId("r-1"));
	}

	@Test
	public void sameEventsProduceSameActions() {
		List<NodeAction> first = runScenario();
		Node replay = createNode();
		List<NodeAction> second = new ArrayList<>();
		this.timedEvents
			.forEach((timedEvent) -> second.addAll(replay.handle(timedEvent.event(), timedEvent.nowMillis())));
		assertEquals(describe(second), describe(first));
	}

	private List<NodeAction> runScenario() {
		this.node = createNode();
		this.timedEvents.clear();
		this.log.clear();
		List<NodeAction> actions = new ArrayList<>(tick(0, STARTUP_MILLIS));
		long nowMillis = STARTUP_MILLIS;
		CatalogueChange change = new CatalogueChange("change-1", "operator", CATALOGUE);
		actions.addAll(handle(new PublishRequested(change, nowMillis + 1000), nowMillis));
		actions.addAll(tick(nowMillis, 100));
		nowMillis += 100;
		actions.addAll(handle(new RequestArrived(new RequestId("r-1"), request(nowMillis)), nowMillis));
		actions.addAll(tick(nowMillis, TAKEOVER_WAIT_MILLIS));
		nowMillis += TAKEOVER_WAIT_MILLIS;
		StartAttempt started = findOnly(actions, StartAttempt.class);
		actions.addAll(handle(
				new AttemptEnded(started.requestId(), started.attempt(), AttemptResult.WHOLE, "", Optional.empty()),
				nowMillis));
		assertTrue(this.node.status().requestsInFlight() == 0);
		return actions;
	}

	private List<NodeAction> tick(long fromMillis, long millis) {
		List<NodeAction> actions = new ArrayList<>();
		for (long nowMillis = fromMillis; nowMillis < fromMillis + millis; nowMillis += TICK_INTERVAL_MILLIS) {
			actions.addAll(handle(new Tick(), nowMillis));
		}
		return actions;
	}

	private List<NodeAction> handle(NodeEvent event, long nowMillis) {
		this.timedEvents.add(new TimedEvent(event, nowMillis));
		List<NodeAction> actions = new ArrayList<>(this.node.handle(event, nowMillis));
		for (NodeAction action : List.copyOf(actions)) {
			if (action instanceof AppendLog append) {
				actions.addAll(append(append, nowMillis));
			}
			if (action instanceof FollowStream follow) {
				actions.addAll(read(follow.stream(), follow.fromOffset(), nowMillis));
			}
		}
		return actions;
	}

	private List<NodeAction> append(AppendLog append, long nowMillis) {
		List<LogRecord> stream = this.log.computeIfAbsent(append.stream(), (name) -> new ArrayList<>());
		int previousSize = stream.size();
		for (RecordBody record : append.records()) {
			stream.add(new LogRecord(stream.size() + 1, nowMillis, record.type(), record.body()));
		}
		NodeEvent appended = new LogAppendEnded(append.stream(), append.appendId(), AppendResult.APPENDED,
				previousSize + 1);
		List<NodeAction> actions = new ArrayList<>(handle(appended, nowMillis));
		actions.addAll(read(append.stream(), previousSize + 1, nowMillis));
		return actions;
	}

	private List<NodeAction> read(StreamName name, long fromOffset, long nowMillis) {
		List<LogRecord> stream = this.log.computeIfAbsent(name, (key) -> new ArrayList<>());
		List<LogRecord> records = stream.stream().filter((record) -> record.offset() >= fromOffset).toList();
		return handle(new LogRecordsRead(name, 1, stream.size() + 1, true, records), nowMillis);
	}

	private static Node createNode() {
		return new Node(new NodeSettings(new VmId("vm-1"), new DomainId("domain-1"), "127.0.0.1", 1, 1, 1));
	}

	private static CallerRequest request(long nowMillis) {
		return new CallerRequest(new OrganisationId("organisation-1"), "secret", new EntryName("release"),
				Optional.empty(), Optional.of("key-1"), new byte[] { 1 }, 10, nowMillis, Optional.empty());
	}

	private static <T extends NodeAction> T findOnly(List<NodeAction> actions, Class<T> kind) {
		List<T> found = actions.stream().filter(kind::isInstance).map(kind::cast).toList();
		assertEquals(found.size(), 1, kind.getSimpleName());
		return found.get(0);
	}

	private static List<String> describe(List<NodeAction> actions) {
		// Removes the identity hash codes that byte arrays print.
		return actions.stream().map((action) -> action.toString().replaceAll("\\[B@\\w+", "")).sorted().toList();
	}

	private record TimedEvent(NodeEvent event, long nowMillis) {

	}

}
