package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mustardlane.core.catalogue.PublishTable.LogView;
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
 * Folds the catalogue out of the log and publishes changes.
 */
public final class CatalogueHandler implements EventHandler {

	private static final long RELAY_ASK_INTERVAL_MILLIS = 200;

	private final RankedLock lock = new RankedLock(LockRank.CATALOGUE);

	private final VmId self;

	private final CatalogueLog log = new CatalogueLog();

	private final PublishTable publishes;

	private final CheckpointSchedule checkpoints;

	private final ReadingRole role;

	private final LogFollowing following = new LogFollowing();

	private volatile CatalogueSnapshot snapshot = CatalogueSnapshot.EMPTY;

	private LogView view = LogView.PARTIAL;

	private long nextRelayAskMillis;

	/**
	 * Creates the handler.
	 * @param self this router
	 */
	public CatalogueHandler(VmId self) {
		this(self, CatalogueSettings.DEFAULT);
	}

	/**
	 * Creates the handler with settings.
	 * @param self this router
	 * @param settings the settings
	 */
	public CatalogueHandler(VmId self, CatalogueSettings settings) {
		this.self = self;
		this.publishes = new PublishTable(settings);
		this.checkpoints = new CheckpointSchedule(self, settings);
		this.role = new ReadingRole(self);
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		return this.lock.callLocked(() -> {
			List<NodeAction> actions = new ArrayList<>();
			take(event, nowMillis, actions);
			List.copyOf(actions)
				.stream()
				.filter(PublishEnded.class::isInstance)
				.map(PublishEnded.class::cast)
				.forEach((ended) -> actions.add(settled(ended)));
			return actions;
		});
	}

	private void take(NodeEvent event, long nowMillis, List<NodeAction> actions) {
		if (event instanceof Tick) {
			tick(nowMillis, actions);
		}
		else if (event instanceof LogRecordsRead read && read.stream().equals(StreamName.CATALOGUE)) {
			recordsRead(read, nowMillis, actions);
		}
		else if (event instanceof LogAppendEnded ended && ended.stream().equals(StreamName.CATALOGUE)) {
			actions.addAll(this.publishes.appendEnded(ended, nowMillis));
		}
		else if (event instanceof PublishRequested request) {
			actions.addAll(this.publishes.request(request));
			adjustReading(nowMillis, actions);
			advancePublishes(nowMillis, actions);
		}
		else if (event instanceof PeerMessageReceived received) {
			peerMessage(received, nowMillis, actions);
		}
		else if (event instanceof OwnershipChanged changed) {
			this.checkpoints.ownershipChanged(changed.ownership());
			this.role.ownershipChanged(changed.ownership());
		}
	}

	private RecordEvent settled(PublishEnded ended) {
		PublishResult result = ended.result();
		String detail = switch (result.verdict()) {
			case ACCEPTED -> "accepted at revision " + result.revision();
			case LOST_RACE -> "lost to revision " + result.winnerRevision();
			case REJECTED -> "rejected with %d findings".formatted(result.findings().size());
			case UNAVAILABLE -> "not published";
			case UNKNOWN -> "unknown";
		};
		return event("publish-ended", ended.changeId(), detail);
	}

	private void tick(long nowMillis, List<NodeAction> actions) {
		adjustReading(nowMillis, actions);
		advancePublishes(nowMillis, actions);
		if (this.view != LogView.PARTIAL) {
			this.checkpoints.due(this.log, nowMillis).ifPresent(actions::add);
		}
	}

	private void adjustReading(long nowMillis, List<NodeAction> actions) {
		boolean needed = this.role.isReader() || !this.publishes.isEmpty() || this.view == LogView.PARTIAL;
		this.following.adjust(needed, this.log, nowMillis).ifPresent(actions::add);
	}

	private void recordsRead(LogRecordsRead read, long nowMillis, List<NodeAction> actions) {
		acceptRecords(read.records(), nowMillis, actions);
		this.log.retainedFrom(read.firstRetainedOffset());
		if (read.endReached() && this.log.state().nextOffset() >= read.nextOffset()) {
			this.view = LogView.FRESH;
			advancePublishes(nowMillis, actions);
			this.view = LogView.COMPLETE;
		}
	}

	private void acceptRecords(List<LogRecord> records, long nowMillis, List<NodeAction> actions) {
		long nextOffset = this.log.state().nextOffset();
		boolean changed = this.log.accept(records);
		this.following.observe(this.log, nowMillis);
		tellListeners(nextOffset, actions);
		this.log.takeNotes()
			.forEach((note) -> actions.add(event(note.kind(), StreamName.CATALOGUE.value(), note.detail())));
		if (changed) {
			this.snapshot = this.log.state().snapshot();
			actions
				.add(event("catalogue-changed", StreamName.CATALOGUE.value(), "revision " + this.snapshot.revision()));
			actions.add(new RaiseEvent(new CatalogueChanged(this.snapshot)));
		}
		advancePublishes(nowMillis, actions);
	}

	private void tellListeners(long fromOffset, List<NodeAction> actions) {
		List<VmId> listeners = this.role.listeners();
		if (this.view == LogView.PARTIAL || listeners.isEmpty() || fromOffset == this.log.state().nextOffset()) {
			return;
		}
		CatalogueRelay relay = new CatalogueRelay(this.log.relayFrom(fromOffset));
		listeners.forEach((listener) -> actions.add(new SendPeer(listener, relay)));
	}

	private void advancePublishes(long nowMillis, List<NodeAction> actions) {
		if (!this.publishes.isEmpty()) {
			actions.addAll(this.publishes.advance(this.log.state(), this.view, nowMillis));
		}
	}

	private void peerMessage(PeerMessageReceived received, long nowMillis, List<NodeAction> actions) {
		if (received.message() instanceof Gossip gossip) {
			askIfBehind(received.sender(), gossip.catalogueRevision(), nowMillis, actions);
		}
		else if (received.message() instanceof CatalogueRelayRequest relayRequest) {
			List<LogRecord> records = this.log.relayFrom(relayRequest.fromOffset());
			if (!records.isEmpty()) {
				actions.add(new SendPeer(received.sender(), new CatalogueRelay(records)));
			}
		}
		else if (received.message() instanceof CatalogueRelay relay) {
			acceptRecords(relay.records(), nowMillis, actions);
			if (this.log.hasGap()) {
				ask(received.sender(), nowMillis, actions);
			}
		}
	}

	private void askIfBehind(VmId peer, long peerRevision, long nowMillis, List<NodeAction> actions) {
		this.following.heardOf(peerRevision);
		this.following.observe(this.log, nowMillis);
		if (peerRevision > this.log.state().revision()) {
			ask(peer, nowMillis, actions);
		}
	}

	private void ask(VmId peer, long nowMillis, List<NodeAction> actions) {
		if (nowMillis >= this.nextRelayAskMillis) {
			this.nextRelayAskMillis = nowMillis + RELAY_ASK_INTERVAL_MILLIS;
			actions.add(new SendPeer(peer, new CatalogueRelayRequest(this.log.state().nextOffset())));
		}
	}

	private RecordEvent event(String kind, String subject, String detail) {
		return new RecordEvent(new TimelineEvent(0, this.self.value(), "", kind, subject, detail));
	}

	/**
	 * Returns the newest catalogue in force on this router.
	 * @return the catalogue
	 */
	public CatalogueSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Returns the newest changes that were read from the log.
	 * @return the changes, oldest first
	 */
	public List<HistoryRow> history() {
		return this.lock.callLocked(() -> this.log.state().history());
	}

	/**
	 * Returns a catalogue as YAML, in the form of a change against itself.
	 * @param revision the revision, 0 for the newest
	 * @return the YAML, or empty where the revision is not among the newest ones
	 */
	public Optional<String> toYaml(long revision) {
		Optional<CatalogueState> state = this.lock
			.callLocked(() -> (revision == 0) ? Optional.of(this.log.state()) : this.log.stateAt(revision));
		return state.map(CatalogueYaml::write);
	}

}
