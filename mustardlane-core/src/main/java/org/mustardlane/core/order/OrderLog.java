package org.mustardlane.core.order;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mustardlane.core.claim.LogCoverage;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.order.EngineOrder;

/**
 * The state of the orders stream: the lease, the waiting decisions and the issued
 * decisions.
 *
 * <p>
 * The state depends only on the offsets and times of the log, so all readers agree. A
 * record that breaks a rule has no effect. Not thread-safe.
 */
final class OrderLog {

	private static final int MAX_DECISIONS = 10_000;

	private final OrderSettings settings;

	private final LogCoverage coverage = new LogCoverage();

	private final Map<String, OrderProgress> decisions = new LinkedHashMap<>();

	private final Deque<Long> weightReadTimesMillis = new ArrayDeque<>();

	private Optional<HeldLease> lease = Optional.empty();

	private long logMillis;

	/**
	 * Creates an empty state that has not read any records.
	 * @param settings limits and durations
	 */
	OrderLog(OrderSettings settings) {
		this.settings = settings;
	}

	/**
	 * Applies the next record. A record that was already read has no effect.
	 * @param record the record
	 * @return why the record was skipped, or empty if it was not skipped
	 */
	Optional<String> apply(LogRecord record) {
		if (record.offset() < this.coverage.nextOffset()) {
			return Optional.empty();
		}
		this.logMillis = Math.max(this.logMillis, record.appendedAtMillis());
		this.coverage.markRead(record.offset(), record.appendedAtMillis());
		dropExpired();
		try {
			return OrderCodec.decode(record)
				.map((content) -> applyContent(record, content))
				.orElse(skipMessage(record));
		}
		catch (IOException ex) {
			return skipMessage(record);
		}
	}

	private static Optional<String> skipMessage(LogRecord record) {
		return Optional.of("record " + record.offset() + " of type " + record.type());
	}

	private Optional<String> applyContent(LogRecord record, OrderRecord content) {
		if (content instanceof OrderRecord.Lease request) {
			applyLease(record.offset(), request);
		}
		else if (content instanceof OrderRecord.Decision decision) {
			applyDecision(decision);
		}
		else if (content instanceof OrderRecord.Issue issue) {
			applyIssue(record.offset(), issue);
		}
		else if (content instanceof OrderRecord.End end) {
			applyEnd(end);
		}
		return Optional.empty();
	}

	private void applyLease(long offset, OrderRecord.Lease request) {
		long expiryMillis = this.logMillis + this.settings.leaseMillis();
		Optional<HeldLease> heldLease = this.lease.filter((current) -> this.logMillis < current.expiryMillis());
		if (heldLease.isEmpty()) {
			this.lease = Optional
				.of(new HeldLease(request.holder(), offset, expiryMillis, request.requestedAtMillis()));
		}
		else if (heldLease.get().holder().equals(request.holder())) {
			long requestedAtMillis = Math.max(heldLease.get().requestedAtMillis(), request.requestedAtMillis());
			this.lease = Optional
				.of(new HeldLease(request.holder(), heldLease.get().fencingNumber(), expiryMillis, requestedAtMillis));
		}
	}

	private void applyDecision(OrderRecord.Decision decision) {
		EngineOrder order = decision.order();
		boolean isFull = this.decisions.size() >= MAX_DECISIONS;
		if (isFull || this.logMillis > decision.voidAfterMillis() || this.decisions.containsKey(order.decisionId())) {
			return;
		}
		this.decisions.values().removeIf((earlier) -> earlier.isWaiting() && earlier.order().isSupersededBy(order));
		this.decisions.put(order.decisionId(), OrderProgress.of(decision));
	}

	private void applyIssue(long offset, OrderRecord.Issue issue) {
		OrderProgress progress = this.decisions.get(issue.decisionId());
		boolean isLeaseHeld = this.lease
			.filter((held) -> held.fencingNumber() == issue.fencingNumber() && this.logMillis < held.expiryMillis())
			.isPresent();
		if (progress == null || !isLeaseHeld || !canIssue(progress, issue.pool(), this.logMillis)) {
			return;
		}
		OrderProgress.Issued issued = new OrderProgress.Issued(offset, issue.fencingNumber(), issue.pool(),
				this.logMillis);
		this.decisions.put(issue.decisionId(), progress.withIssue(issued));
		if (progress.order().kind().readsWeights()) {
			this.weightReadTimesMillis.add(this.logMillis);
		}
	}

	/**
	 * Returns whether a decision can be issued under the limits that hold for the whole
	 * fleet.
	 * @param progress the decision
	 * @param pool the pool of its engine
	 * @param atMillis time of the issue in milliseconds
	 * @return true if the decision is waiting and not expired, its engine has no
	 * outstanding order, the rate limit of weight reads allows it and no other order that
	 * interrupts service is outstanding in the pool
	 */
	boolean canIssue(OrderProgress progress, String pool, long atMillis) {
		EngineOrder order = progress.order();
		boolean isBlocked = this.decisions.values()
			.stream()
			.filter((other) -> other.isOutstanding(atMillis, this.settings.outstandingTimeoutMillis()))
			.anyMatch(
					(other) -> other.order().target().equals(order.target()) || bothInterruptPool(other, order, pool));
		long recentWeightReadCount = this.weightReadTimesMillis.stream()
			.filter((readMillis) -> atMillis < readMillis + this.settings.weightIntervalMillis())
			.count();
		boolean isWithinRateLimit = !order.kind().readsWeights()
				|| recentWeightReadCount < this.settings.maxWeightReads();
		return progress.isWaiting() && atMillis <= progress.voidAfterMillis() && !isBlocked && isWithinRateLimit;
	}

	private static boolean bothInterruptPool(OrderProgress other, EngineOrder order, String pool) {
		boolean isSamePool = other.issue().filter((issued) -> issued.pool().equals(pool)).isPresent();
		return isSamePool && other.order().kind().interruptsService() && order.kind().interruptsService();
	}

	private void applyEnd(OrderRecord.End end) {
		OrderProgress progress = this.decisions.get(end.decisionId());
		boolean isOutstandingIssue = progress != null && progress.result().isEmpty()
				&& progress.issue().filter((issued) -> issued.fencingNumber() == end.fencingNumber()).isPresent();
		if (isOutstandingIssue) {
			this.decisions.put(end.decisionId(), progress.withResult(end.result()));
		}
	}

	private void dropExpired() {
		this.weightReadTimesMillis
			.removeIf((readMillis) -> this.logMillis >= readMillis + this.settings.weightIntervalMillis());
		this.decisions.values()
			.removeIf((progress) -> this.logMillis > progress.voidAfterMillis()
					&& !progress.isOutstanding(this.logMillis, this.settings.outstandingTimeoutMillis()));
	}

	/**
	 * Returns the latest lease in the log, which may have expired.
	 * @return the lease, or empty if none was granted
	 */
	Optional<HeldLease> lease() {
		return this.lease;
	}

	/**
	 * Returns the decisions that have not expired or whose order is outstanding.
	 * @return the decisions in the order in which they were recorded
	 */
	List<OrderProgress> decisions() {
		return List.copyOf(this.decisions.values());
	}

	/**
	 * Returns a decision.
	 * @param decisionId id of the decision
	 * @return the decision, or empty if it is unknown, superseded or expired
	 */
	Optional<OrderProgress> decision(String decisionId) {
		return Optional.ofNullable(this.decisions.get(decisionId));
	}

	/**
	 * Returns which part of the stream has been read or lost.
	 * @return the live coverage, which the caller may update
	 */
	LogCoverage coverage() {
		return this.coverage;
	}

	/**
	 * A lease that a process holds or held.
	 *
	 * @param holder id of the process
	 * @param fencingNumber log offset of the record that granted the lease
	 * @param expiryMillis expiry time by the clock of the log
	 * @param requestedAtMillis time of the holder's latest request, by its own clock
	 */
	record HeldLease(String holder, long fencingNumber, long expiryMillis, long requestedAtMillis) {

	}

}
