package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.List;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.AppendResult;
import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.PublishEnded;
import org.mustardlane.core.event.PublishRequested;
import org.mustardlane.core.event.RecordEvent;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.event.UnfollowStream;
import org.mustardlane.core.model.catalogue.CatalogueChange;
import org.mustardlane.core.model.catalogue.PublishResult;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.StreamName;

import static org.testng.Assert.assertTrue;

/**
 * A catalogue handler with a hand-driven connection to a {@link FakeLog}.
 */
final class TestRouter {

	static final CatalogueSettings SETTINGS = new CatalogueSettings(10, 60_000, 100);

	final CatalogueHandler handler;

	final VmId vm;

	final List<NodeAction> actions = new ArrayList<>();

	private final FakeLog log;

	private long followFrom;

	private long revision;

	TestRouter(String vm, FakeLog log) {
		this.vm = new VmId(vm);
		this.handler = new CatalogueHandler(this.vm, SETTINGS);
		this.log = log;
	}

	void handle(NodeEvent event, long nowMillis) {
		List<NodeAction> result = this.handler.handle(event, nowMillis);
		this.actions.addAll(result);
		for (NodeAction action : result) {
			if (action instanceof FollowStream follow) {
				this.followFrom = follow.fromOffset();
			}
			if (action instanceof UnfollowStream) {
				this.followFrom = 0;
			}
		}
		long now = this.handler.snapshot().revision();
		assertTrue(now >= this.revision, "went back from revision " + this.revision + " to " + now);
		this.revision = now;
	}

	void tick(long nowMillis) {
		handle(new Tick(), nowMillis);
	}

	boolean isReading() {
		return this.followFrom > 0;
	}

	boolean read(int limit, long nowMillis) {
		if (this.followFrom == 0) {
			return false;
		}
		var read = this.log.read(this.followFrom, limit);
		this.followFrom = read.nextOffset();
		handle(read, nowMillis);
		return true;
	}

	void publish(String changeId, String yaml, long deadlineMillis, long nowMillis) {
		handle(new PublishRequested(new CatalogueChange(changeId, "ann", yaml), deadlineMillis), nowMillis);
	}

	/**
	 * Carries out the appends that the handler wants.
	 */
	void append(AppendResult result, boolean effect, long nowMillis) {
		for (AppendLog append : take(AppendLog.class)) {
			long offset = effect ? this.log.append(append.records(), nowMillis) : -1;
			handle(new LogAppendEnded(StreamName.CATALOGUE, append.appendId(), result,
					(result == AppendResult.APPENDED) ? offset : -1), nowMillis);
		}
	}

	<A extends NodeAction> List<A> take(Class<A> type) {
		List<A> found = this.actions.stream().filter(type::isInstance).map(type::cast).toList();
		this.actions.removeIf(type::isInstance);
		return found;
	}

	List<PublishResult> results() {
		return take(PublishEnded.class).stream().map(PublishEnded::result).toList();
	}

	List<String> events() {
		return take(RecordEvent.class).stream().map((action) -> action.event().kind()).toList();
	}

	void relayTo(TestRouter other, String sender, long nowMillis) {
		for (SendPeer send : take(SendPeer.class)) {
			other.handle(new org.mustardlane.core.event.PeerMessageReceived(new VmId(sender), send.message()),
					nowMillis);
		}
	}

}
