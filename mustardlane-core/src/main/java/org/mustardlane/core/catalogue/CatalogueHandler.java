package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mustardlane.core.catalogue.PublishTable.LogCoverage;
import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.PublishEnded;
import org.mustardlane.core.event.PublishRequested;
import org.mustardlane.core.event.RaiseEvent;
import org.mustardlane.core.event.RecordEvent;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.message.CatalogueRelay;
import org.mustardlane.core.message.CatalogueRelayRequest;
import org.mustardlane.core.message.Gossip;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.PublishResult;
import org.mustardlane.core.model.common.LockRank;
import org.mustardlane.core.model.common.RankedLock;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.timeline.TimelineEvent;

/**
 * Builds the catalogue from the records of the log, relays them to other routers and
 * publishes changes.
 *
 * <p>
 * Thread-safe: all state except the published snapshot is guarded by one lock.
 */
public final class CatalogueHandler implements EventHandler {

	private static final long RELAY_REQUEST_INTERVAL_MILLIS = 200;

	private final RankedLock lock = new RankedLock(LockRank.CATALOGUE);

	private final VmId self;

	private final CatalogueLog log = new CatalogueLog();

	private final PublishTable pendingPublishes;

	private final CheckpointSchedule checkpoints;

	private final LogReaderSelection readerSelection;

	private final LogSubscription subscription = new LogSubscription();

	private volatile CatalogueSnapshot snapshot = CatalogueSnapshot.EMPTY;

	private LogCoverage logCoverage = LogCoverage.PARTIAL;

	private long nextRelayRequestMillis;

	/**
	 * Creates a handler with the default settings.
	 * @param self the VM of this router
	 */
	public CatalogueHandler(VmId self) {
		this(self, CatalogueSettings.DEFAULT);
	}

	/**
	 * Creates a handler.
	 * @param self the VM of this router
	 * @param settings settings for checkpoints and append retries
	 */
	public CatalogueHandler(VmId self, CatalogueSettings settings) {
		this.self = self;
		this.pendingPublishes = new PublishTable(settings);
		this.checkpoints = new CheckpointSchedule(self, settings);
		this.readerSelection = new LogReaderSelection(self);
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		return this.lock.callLocked(() -> {
			List<NodeAction> actions = new ArrayList<>();
			dispatch(event, nowMillis, actions);
			List.copyOf(actions)
				.stream()
				.filter(PublishEnded.class::isInstance)
				.map(PublishEnded.class::cast)
				.forEach((ended) -> actions.add(publishEndedEvent(ended)));
			return actions;
		});
	}

	private void dispatch(NodeEvent event, long nowMillis, List<NodeAction> actions) {
		if (event instanceof Tick) {
			handleTick(nowMillis, actions);
		}
		else if (event instanceof LogRecordsRead read && read.stream().equals(StreamName.CATALOGUE)) {
			handleRecordsRead(read, nowMillis, actions);
		}
		else if (event instanceof LogAppendEnded ended && ended.stream().equals(StreamName.CATALOGUE)) {
			actions.addAll(this.pendingPublishes.handleAppendEnded(ended, nowMillis));
		}
		else if (event instanceof PublishRequested request) {
			actions.addAll(this.pendingPublishes.add(request));
			updateSubscription(nowMillis, actions);
			advancePublishes(nowMillis, actions);
		}
		else if (event instanceof PeerMessageReceived received) {
			handlePeerMessage(received, nowMillis, actions);
		}
		else if (event instanceof OwnershipChanged changed) {
			this.checkpoints.ownershipChanged(changed.ownership());
			this.readerSelection.ownershipChanged(changed.ownership());
		}
	}

	private RecordEvent publishEndedEvent(PublishEnded ended) {
		PublishResult result = ended.result();
		String detail = switch (result.verdict()) {
			case ACCEPTED -> "accepted at revision " + result.revision();
			case LOST_RACE -> "lost to revision " + result.winnerRevision();
			case REJECTED -> "rejected with %d findings".formatted(result.findings().size());
			case UNAVAILABLE -> "not published";
			case UNKNOWN -> "unknown";
		};
		return timelineEvent("publish-ended", ended.changeId(), detail);
	}

	private void handleTick(long nowMillis, List<NodeAction> actions) {
		updateSubscription(nowMillis, actions);
		advancePublishes(nowMillis, actions);
		if (this.logCoverage != LogCoverage.PARTIAL) {
			this.checkpoints.createAppendIfDue(this.log, nowMillis).ifPresent(actions::add);
		}
	}

	private void updateSubscription(long nowMillis, List<NodeAction> actions) {
		boolean required = this.readerSelection.isReader() || !this.pendingPublishes.isEmpty()
				|| this.logCoverage == LogCoverage.PARTIAL;
		this.subscription.update(required, this.log, nowMillis).ifPresent(actions::add);
	}

	private void handleRecordsRead(LogRecordsRead read, long nowMillis, List<NodeAction> actions) {
		acceptRecords(read.records(), nowMillis, actions);
		this.log.setFirstRetainedOffset(read.firstRetainedOffset());
		if (read.endReached() && this.log.state().nextOffset() >= read.nextOffset()) {
			this.logCoverage = LogCoverage.UP_TO_DATE;
			advancePublishes(nowMillis, actions);
			this.logCoverage = LogCoverage.COMPLETE;
		}
	}

	private void acceptRecords(List<LogRecord> records, long nowMillis, List<NodeAction> actions) {
		long firstNewOffset = this.log.state().nextOffset();
		boolean isRevisionNewer = this.log.accept(records);
		this.subscription.updateDeadlines(this.log, nowMillis);
		relayNewRecords(firstNewOffset, actions);
		this.log.drainTimelineNotes()
			.forEach((note) -> actions.add(timelineEvent(note.kind(), StreamName.CATALOGUE.value(), note.detail())));
		if (isRevisionNewer) {
			this.snapshot = this.log.state().snapshot();
			actions.add(timelineEvent("catalogue-changed", StreamName.CATALOGUE.value(),
					"revision " + this.snapshot.revision()));
			actions.add(new RaiseEvent(new CatalogueChanged(this.snapshot)));
		}
		advancePublishes(nowMillis, actions);
	}

	private void relayNewRecords(long fromOffset, List<NodeAction> actions) {
		List<VmId> receivers = this.readerSelection.relayReceivers();
		if (this.logCoverage == LogCoverage.PARTIAL || receivers.isEmpty()
				|| fromOffset == this.log.state().nextOffset()) {
			return;
		}
		CatalogueRelay relay = new CatalogueRelay(this.log.recordsForRelay(fromOffset));
		receivers.forEach((receiver) -> actions.add(new SendPeer(receiver, relay)));
	}

	private void advancePublishes(long nowMillis, List<NodeAction> actions) {
		if (!this.pendingPublishes.isEmpty()) {
			actions.addAll(this.pendingPublishes.advance(this.log.state(), this.logCoverage, nowMillis));
		}
	}

	private void handlePeerMessage(PeerMessageReceived received, long nowMillis, List<NodeAction> actions) {
		if (received.message() instanceof Gossip gossip) {
			requestRelayIfBehind(received.sender(), gossip.catalogueRevision(), nowMillis, actions);
		}
		else if (received.message() instanceof CatalogueRelayRequest relayRequest) {
			List<LogRecord> records = this.log.recordsForRelay(relayRequest.fromOffset());
			if (!records.isEmpty()) {
				actions.add(new SendPeer(received.sender(), new CatalogueRelay(records)));
			}
		}
		else if (received.message() instanceof CatalogueRelay relay) {
			acceptRecords(relay.records(), nowMillis, actions);
			if (this.log.hasGap()) {
				requestRelay(received.sender(), nowMillis, actions);
			}
		}
	}

	private void requestRelayIfBehind(VmId peer, long peerRevision, long nowMillis, List<NodeAction> actions) {
		this.subscription.recordPeerRevision(peerRevision);
		this.subscription.updateDeadlines(this.log, nowMillis);
		if (peerRevision > this.log.state().revision()) {
			requestRelay(peer, nowMillis, actions);
		}
	}

	private void requestRelay(VmId peer, long nowMillis, List<NodeAction> actions) {
		if (nowMillis >= this.nextRelayRequestMillis) {
			this.nextRelayRequestMillis = nowMillis + RELAY_REQUEST_INTERVAL_MILLIS;
			actions.add(new SendPeer(peer, new CatalogueRelayRequest(this.log.state().nextOffset())));
		}
	}

	private RecordEvent timelineEvent(String kind, String subject, String detail) {
		return new RecordEvent(new TimelineEvent(0, this.self.value(), "", kind, subject, detail));
	}

	/**
	 * Returns the newest catalogue on this router.
	 * @return an immutable snapshot, empty before the first change was read
	 */
	public CatalogueSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Returns the newest changes that were read from the log, including those without
	 * effect.
	 * @return the changes, oldest first
	 */
	public List<HistoryRow> history() {
		return this.lock.callLocked(() -> this.log.state().history());
	}

	/**
	 * Returns the catalogue of a revision as the YAML of a change based on that revision.
	 * @param revision the revision, or 0 for the newest
	 * @return the YAML, or empty if the revision is older than those kept in memory
	 */
	public Optional<String> toYaml(long revision) {
		Optional<CatalogueState> state = this.lock
			.callLocked(() -> (revision == 0) ? Optional.of(this.log.state()) : this.log.stateAt(revision));
		return state.map(CatalogueYaml::format);
	}

}
