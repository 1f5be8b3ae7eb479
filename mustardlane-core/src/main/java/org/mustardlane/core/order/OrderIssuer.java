package org.mustardlane.core.order;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.OrderEnded;
import org.mustardlane.core.event.PollTarget;
import org.mustardlane.core.event.SendOrder;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.order.EngineOrder;
import org.mustardlane.core.model.order.OrderResult;

/**
 * Issues waiting decisions while this router holds the lease.
 *
 * <p>
 * An order is sent only after its issue record has been read back as valid, and only
 * while the lease is valid by the clock of this VM. Not thread-safe.
 */
final class OrderIssuer {

	private static final long POLL_INTERVAL_MILLIS = 1_000;

	private final String processId;

	private final OrderSettings settings;

	private final OrderLog log;

	private final OrderOutbox outbox;

	private final PoolCapacity capacity;

	private final Set<Long> handledIssues = new HashSet<>();

	private long fencingNumber;

	private long leaseHeldSinceMillis;

	private long refusedFencingNumber;

	private long nextPollMillis = Long.MIN_VALUE;

	/**
	 * Creates an issuer.
	 * @param processId id of this process, which identifies it as lease holder
	 * @param settings limits and durations
	 * @param log the state read from the orders stream
	 * @param outbox queue of records to append
	 * @param capacity the loads and capacities of the pools
	 */
	OrderIssuer(String processId, OrderSettings settings, OrderLog log, OrderOutbox outbox, PoolCapacity capacity) {
		this.processId = processId;
		this.settings = settings;
		this.log = log;
		this.outbox = outbox;
		this.capacity = capacity;
	}

	/**
	 * Returns the time until which this router may send orders.
	 * @return the time by the clock of this VM in milliseconds, 0 if this router has no
	 * lease
	 */
	long sendDeadlineMillis() {
		return this.log.lease()
			.filter((lease) -> lease.holder().equals(this.processId))
			.filter((lease) -> lease.fencingNumber() != this.refusedFencingNumber)
			.map((lease) -> lease.requestedAtMillis() + this.settings.leaseMillis() - this.settings.clockMarginMillis())
			.orElse(0L);
	}

	/**
	 * Requests or renews the lease if less than half of its duration is left and no other
	 * process holds it. A lease under which an engine refused an order counts as held by
	 * another process.
	 * @param nowMillis current time of this VM in milliseconds
	 */
	void requestLeaseIfDue(long nowMillis) {
		boolean isRenewalEarly = nowMillis < sendDeadlineMillis() - this.settings.leaseMillis() / 2;
		boolean isHeldByOther = this.log.lease()
			.filter((lease) -> !lease.holder().equals(this.processId)
					|| lease.fencingNumber() == this.refusedFencingNumber)
			.filter((lease) -> nowMillis < lease.expiryMillis() + this.settings.clockMarginMillis())
			.isPresent();
		if (!isRenewalEarly && !isHeldByOther) {
			this.outbox.put("lease", new OrderRecord.Lease(this.processId, nowMillis),
					nowMillis + this.settings.retryMillis());
		}
	}

	/**
	 * Updates the lease after records were read, drops outbox records that have taken
	 * effect and sends orders whose issue has been read back.
	 * @param nowMillis current time of this VM in milliseconds
	 * @return actions that send the orders
	 */
	List<SendOrder> handleRecordsRead(long nowMillis) {
		updateLease(nowMillis);
		this.outbox.removeIf(this::hasTakenEffect);
		List<SendOrder> orders = new ArrayList<>();
		for (OrderProgress progress : this.log.decisions()) {
			progress.issue()
				.filter((issued) -> progress.result().isEmpty() && issued.fencingNumber() == this.fencingNumber)
				.filter((issued) -> this.handledIssues.add(issued.offset()))
				.flatMap((issued) -> createSendAction(progress.order(), nowMillis))
				.ifPresent(orders::add);
		}
		return orders;
	}

	private void updateLease(long nowMillis) {
		Optional<OrderLog.HeldLease> own = this.log.lease().filter((lease) -> lease.holder().equals(this.processId));
		if (own.isPresent() && own.get().fencingNumber() != this.fencingNumber) {
			this.fencingNumber = own.get().fencingNumber();
			this.leaseHeldSinceMillis = nowMillis;
			this.handledIssues.clear();
		}
	}

	private boolean hasTakenEffect(OrderRecord record) {
		if (record instanceof OrderRecord.Lease request) {
			return this.log.lease()
				.filter((lease) -> !lease.holder().equals(this.processId)
						|| lease.requestedAtMillis() >= request.requestedAtMillis())
				.isPresent();
		}
		if (record instanceof OrderRecord.Issue issue) {
			return this.log.decision(issue.decisionId()).filter(OrderProgress::isWaiting).isEmpty()
					|| issue.fencingNumber() != this.fencingNumber;
		}
		if (record instanceof OrderRecord.End end) {
			return this.log.decision(end.decisionId())
				.flatMap(OrderProgress::issue)
				.filter((issued) -> issued.fencingNumber() == end.fencingNumber())
				.isEmpty() || this.log.decision(end.decisionId()).flatMap(OrderProgress::result).isPresent();
		}
		return this.log.decision(((OrderRecord.Decision) record).order().decisionId()).isPresent();
	}

	private Optional<SendOrder> createSendAction(EngineOrder order, long nowMillis) {
		Target target = this.capacity.catalogue().targets().get(order.target());
		long sendDeadlineMillis = sendDeadlineMillis();
		boolean isAllowed = target != null
				&& (!order.kind().interruptsService() || this.capacity.canSpare(target, nowMillis));
		if (!isAllowed || nowMillis >= sendDeadlineMillis) {
			enqueueEnd(order.decisionId(), this.fencingNumber, OrderResult.NOT_SENT, nowMillis);
			return Optional.empty();
		}
		return Optional.of(new SendOrder(target, this.fencingNumber, sendDeadlineMillis, order));
	}

	/**
	 * Adds an issue record to the outbox for the first decision that can be issued now.
	 * @param nowMillis current time of this VM in milliseconds
	 * @return polls of the engines whose load reports are needed to decide
	 */
	List<NodeAction> enqueueNextIssue(long nowMillis) {
		List<NodeAction> polls = new ArrayList<>();
		if (nowMillis >= sendDeadlineMillis()) {
			return polls;
		}
		for (OrderProgress progress : this.log.decisions()) {
			Target target = this.capacity.catalogue().targets().get(progress.order().target());
			if (target != null && canIssue(progress, target, nowMillis, polls)) {
				String decisionId = progress.order().decisionId();
				this.outbox.put("issue " + decisionId,
						new OrderRecord.Issue(decisionId, this.fencingNumber, target.pool().value()),
						nowMillis + this.settings.retryMillis());
				break;
			}
		}
		return polls;
	}

	private boolean canIssue(OrderProgress progress, Target target, long nowMillis, List<NodeAction> polls) {
		long startMillis = this.leaseHeldSinceMillis + (target.checksFencing() ? 0 : this.settings.clockMarginMillis());
		if (nowMillis < startMillis || !this.log.canIssue(progress, target.pool().value(), nowMillis)) {
			return false;
		}
		if (!progress.order().kind().interruptsService() || this.capacity.canSpare(target, nowMillis)) {
			return true;
		}
		if (polls.isEmpty() && nowMillis >= this.nextPollMillis) {
			this.nextPollMillis = nowMillis + POLL_INTERVAL_MILLIS;
			this.capacity.engines(target.pool()).forEach((engine) -> polls.add(new PollTarget(engine)));
		}
		return false;
	}

	/**
	 * Handles the end of an order. A refusal by the engine ends the use of the lease,
	 * because a process with a higher fencing number has sent it an order.
	 * @param event the result of the order
	 * @param nowMillis current time of this VM in milliseconds
	 */
	void handleOrderEnd(OrderEnded event, long nowMillis) {
		if (event.result() == OrderResult.REFUSED) {
			this.refusedFencingNumber = event.fencingNumber();
		}
		enqueueEnd(event.decisionId(), event.fencingNumber(), event.result(), nowMillis);
	}

	private void enqueueEnd(String decisionId, long fencingNumber, OrderResult result, long nowMillis) {
		this.outbox.put("end " + decisionId + " " + fencingNumber,
				new OrderRecord.End(decisionId, fencingNumber, result),
				nowMillis + this.settings.outstandingTimeoutMillis());
	}

}
