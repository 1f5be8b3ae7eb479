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
 * A catalogue handler whose reads from and appends to a {@link FakeLog} are driven by the
 * test.
 */
final class TestRouter {

	static final CatalogueSettings SETTINGS = new CatalogueSettings(10, 60_000, 100);

	final CatalogueHandler handler;

	final VmId vm;

	final List<NodeAction> actions = new ArrayList<>();

	private final FakeLog log;

	private long nextReadOffset;

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
				this.nextReadOffset = follow.fromOffset();
			}
			if (action instanceof UnfollowStream) {
				this.nextReadOffset = 0;
			}
		}
		long newRevision = this.handler.snapshot().revision();
		assertTrue(newRevision >= this.revision, "revision decreased from " + this.revision + " to " + newRevision);
		this.revision = newRevision;
	}

	void tick(long nowMillis) {
		handle(new Tick(), nowMillis);
	}

	boolean isSubscribed() {
		return this.nextReadOffset > 0;
	}

	boolean read(int maxRecords, long nowMillis) {
		if (this.nextReadOffset == 0) {
			return false;
		}
		var batch = this.log.read(this.nextReadOffset, maxRecords);
		this.nextReadOffset = batch.nextOffset();
		handle(batch, nowMillis);
		return true;
	}

	void publish(String changeId, String yaml, long deadlineMillis, long nowMillis) {
		handle(new PublishRequested(new CatalogueChange(changeId, "ann", yaml), deadlineMillis), nowMillis);
	}

	/**
	 * Ends all pending appends of the handler with the given result.
	 * @param result the result that is reported to the handler
	 * @param effective whether the records are added to the log
	 * @param nowMillis the current time
	 */
	void performAppends(AppendResult result, boolean effective, long nowMillis) {
		for (AppendLog append : takeActions(AppendLog.class)) {
			long offset = effective ? this.log.append(append.records(), nowMillis) : -1;
			handle(new LogAppendEnded(StreamName.CATALOGUE, append.appendId(), result,
					(result == AppendResult.APPENDED) ? offset : -1), nowMillis);
		}
	}

	<A extends NodeAction> List<A> takeActions(Class<A> type) {
		List<A> taken = this.actions.stream().filter(type::isInstance).map(type::cast).toList();
		this.actions.removeIf(type::isInstance);
		return taken;
	}

	List<PublishResult> takeResults() {
		return takeActions(PublishEnded.class).stream().map(PublishEnded::result).toList();
	}

	List<String> takeEventKinds() {
		return takeActions(RecordEvent.class).stream().map((action) -> action.event().kind()).toList();
	}

	void deliverMessages(TestRouter receiver, String sender, long nowMillis) {
		for (SendPeer send : takeActions(SendPeer.class)) {
			receiver.handle(new org.mustardlane.core.event.PeerMessageReceived(new VmId(sender), send.message()),
					nowMillis);
		}
	}

}
