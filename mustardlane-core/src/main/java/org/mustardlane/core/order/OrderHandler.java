package org.mustardlane.core.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mustardlane.core.claim.LogCoverage;
import org.mustardlane.core.claim.StreamWatchdog;
import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.LogAppendEnded;
import org.mustardlane.core.event.LogReadFailed;
import org.mustardlane.core.event.LogRecordsRead;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.event.OrderEnded;
import org.mustardlane.core.event.OrderRequested;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.RecordEvent;
import org.mustardlane.core.event.SendOrder;
import org.mustardlane.core.event.TargetReported;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.event.UnfollowStream;
import org.mustardlane.core.model.common.LockRank;
import org.mustardlane.core.model.common.RankedLock;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.core.model.membership.Ownership;
import org.mustardlane.core.model.timeline.TimelineEvent;

/**
 * Sends orders to engines while this router holds the lease.
 *
 * <p>
 * Rendezvous hashing selects one router that requests the lease. If views of the
 * membership differ, two routers may request it at once; the order of the log then
 * decides. Every router can record a decision. Thread-safe.
 */
public final class OrderHandler implements EventHandler {

	private static final long ISSUER_RENDEZVOUS_KEY = RendezvousHash.hash("orders");

	private static final int HYBRID_TIME_COUNTER_BITS = 16;

	private final RankedLock lock = new RankedLock(LockRank.ORDERS);

	private final VmId self;

	private final OrderSettings settings;

	private final OrderLog log;

	private final OrderOutbox outbox;

	private final PoolCapacity capacity;

	private final OrderIssuer issuer;

	private final StreamWatchdog watchdog = new StreamWatchdog();

	private String domain = "";

	private boolean selectedAsIssuer;

	private boolean followingOrders;

	private boolean caughtUp;

	/**
	 * Creates the handler with default settings.
	 * @param self id of this router
	 * @param incarnationMillis start time of this process in epoch milliseconds
	 */
	public OrderHandler(VmId self, long incarnationMillis) {
		this(self, incarnationMillis, OrderSettings.DEFAULT);
	}

	/**
	 * Creates the handler.
	 * @param self id of this router
	 * @param incarnationMillis start time of this process in epoch milliseconds
	 * @param settings limits and durations
	 */
	public OrderHandler(VmId self, long incarnationMillis, OrderSettings settings) {
		String processId = self + "/" + incarnationMillis;
		this.self = self;
		this.settings = settings;
		this.log = new OrderLog(settings);
		this.outbox = new OrderOutbox(processId + "/orders/", settings.retryMillis());
		this.capacity = new PoolCapacity(settings);
		this.issuer = new OrderIssuer(processId, settings, this.log, this.outbox, this.capacity);
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		return this.lock.callLocked(() -> dispatch(event, nowMillis));
	}

	private List<NodeAction> dispatch(NodeEvent event, long nowMillis) {
		if (event instanceof LogRecordsRead read && read.stream().equals(StreamName.ORDERS)) {
			return handleRecords(read, nowMillis);
		}
		if (event instanceof OwnershipChanged changed) {
			return changeOwnership(changed.ownership());
		}
		if (event instanceof Tick) {
			return tick(nowMillis);
		}
		if (event instanceof OrderEnded ended) {
			this.issuer.handleOrderEnd(ended, nowMillis);
			return List.of(record("order-ended", ended.decisionId(), ended.result().name(), nowMillis));
		}
		updateState(event, nowMillis);
		return List.of();
	}

	private void updateState(NodeEvent event, long nowMillis) {
		if (event instanceof LogAppendEnded ended) {
			this.outbox.handleAppendResult(ended);
		}
		else if (event instanceof LogReadFailed failed && failed.stream().equals(StreamName.ORDERS)) {
			this.watchdog.restart(nowMillis);
		}
		else if (event instanceof OrderRequested requested) {
			long voidAfterMillis = nowMillis + this.settings.decisionLifetimeMillis();
			this.outbox.put("decision " + requested.order().decisionId(),
					new OrderRecord.Decision(requested.order(), voidAfterMillis), voidAfterMillis);
		}
		else if (event instanceof CatalogueChanged changed) {
			this.capacity.setCatalogue(changed.snapshot());
		}
		else if (event instanceof TargetReported reported) {
			this.capacity.addReport(reported, nowMillis);
		}
	}

	private List<NodeAction> changeOwnership(Ownership ownership) {
		this.domain = ownership.selfDomain().value();
		boolean isSelected = RendezvousHash.highestRanked(ISSUER_RENDEZVOUS_KEY, ownership.routers().keySet())
			.filter(this.self::equals)
			.isPresent();
		this.selectedAsIssuer = isSelected;
		if (!isSelected || this.followingOrders) {
			return List.of();
		}
		this.followingOrders = true;
		this.caughtUp = false;
		return List.of(createFollowAction());
	}

	private FollowStream createFollowAction() {
		return new FollowStream(StreamName.ORDERS, this.log.coverage().nextOffset());
	}

	private List<NodeAction> handleRecords(LogRecordsRead read, long nowMillis) {
		LogCoverage coverage = this.log.coverage();
		this.watchdog.restart(nowMillis);
		coverage.skipTo(read.firstRetainedOffset());
		if (!read.records().isEmpty() && read.records().get(0).offset() > coverage.nextOffset()) {
			return List.of(createFollowAction());
		}
		List<NodeAction> actions = new ArrayList<>();
		for (LogRecord record : read.records()) {
			this.log.apply(record)
				.ifPresent((problem) -> actions
					.add(record("order-record-skipped", StreamName.ORDERS.value(), problem, nowMillis)));
		}
		this.caughtUp |= read.endReached() && read.nextOffset() == coverage.nextOffset();
		for (SendOrder order : this.issuer.handleRecordsRead(nowMillis)) {
			actions.add(order);
			actions.add(record("order-sent", order.order().decisionId(),
					order.target().id() + " number " + order.fencingNumber(), nowMillis));
		}
		return actions;
	}

	private RecordEvent record(String kind, String subject, String detail, long nowMillis) {
		return new RecordEvent(new TimelineEvent(nowMillis << HYBRID_TIME_COUNTER_BITS, this.self.value(), this.domain,
				kind, subject, detail));
	}

	private List<NodeAction> tick(long nowMillis) {
		List<NodeAction> actions = new ArrayList<>();
		if (this.watchdog.checkExpired(nowMillis) && this.followingOrders) {
			actions.add(createFollowAction());
		}
		if (this.selectedAsIssuer && this.caughtUp) {
			this.issuer.requestLeaseIfDue(nowMillis);
			if (isHistoryComplete(nowMillis)) {
				actions.addAll(this.issuer.enqueueNextIssue(nowMillis));
			}
		}
		else if (!this.selectedAsIssuer && this.followingOrders && nowMillis >= this.issuer.sendDeadlineMillis()) {
			this.followingOrders = false;
			actions.add(new UnfollowStream(StreamName.ORDERS));
		}
		Optional<NodeAction> append = this.outbox.flush(nowMillis);
		append.ifPresent(actions::add);
		return actions;
	}

	private boolean isHistoryComplete(long nowMillis) {
		long gapEndMillis = this.log.coverage().gapEndMillis(this.settings.decisionLifetimeMillis());
		return gapEndMillis <= nowMillis - this.settings.clockMarginMillis();
	}

}
