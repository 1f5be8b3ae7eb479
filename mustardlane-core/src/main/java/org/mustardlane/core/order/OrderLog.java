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
 * What the orders stream says: who holds the lease, which decisions wait and which were
 * issued.
 *
 * <p>
 * A pure fold: offsets and times of the log alone decide, so all readers agree. A record
 * that breaks a rule counts for nothing. Not thread-safe.
 */
final class OrderLog {

	private static final int DECISIONS_LIMIT = 10_000;

	private final OrderSettings settings;

	private final LogCoverage coverage = new LogCoverage();

	private final Map<String, OrderProgress> decisions = new LinkedHashMap<>();

	private final Deque<Long> weightReadsMillis = new ArrayDeque<>();

	private Optional<HeldLease> lease = Optional.empty();

	private long logMillis;

	/**
	 * Creates the fold before the first record.
	 * @param settings limits and times
	 */
	OrderLog(OrderSettings settings) {
		this.settings = settings;
	}

	/**
	 * Takes the next record.
	 * @param record the record; one that was taken already changes nothing
	 * @return why the record was skipped, or empty where it was not
	 */
	Optional<String> fold(LogRecord record) {
		if (record.offset() < this.coverage.nextOffset()) {
			return Optional.empty();
		}
		this.logMillis = Math.max(this.logMillis, record.appendedAtMillis());
		this.coverage.read(record.offset(), record.appendedAtMillis());
		dropOld();
		try {
			return OrderCodec.decode(record).map((content) -> apply(record, content)).orElse(skipped(record));
		}
		catch (IOException ex) {
			return skipped(record);
		}
	}

	private static Optional<String> skipped(LogRecord record) {
		return Optional.of("record " + record.offset() + " of type " + record.type());
	}

	private Optional<String> apply(LogRecord record, OrderRecord content) {
		if (content instanceof OrderRecord.Lease asked) {
			lease(record.offset(), asked);
		}
		else if (content instanceof OrderRecord.Decision decision) {
			decide(decision);
		}
		else if (content instanceof OrderRecord.Issue issue) {
			issue(record.offset(), issue);
		}
		else if (content instanceof OrderRecord.End end) {
			end(end);
		}
		return Optional.empty();
	}

	private void lease(long offset, OrderRecord.Lease asked) {
		long expiryMillis = this.logMillis + this.settings.leaseMillis();
		Optional<HeldLease> held = this.lease.filter((current) -> this.logMillis < current.expiryMillis());
		if (held.isEmpty()) {
			this.lease = Optional.of(new HeldLease(asked.holder(), offset, expiryMillis, asked.requestedAtMillis()));
		}
		else if (held.get().holder().equals(asked.holder())) {
			long requestedAtMillis = Math.max(held.get().requestedAtMillis(), asked.requestedAtMillis());
			this.lease = Optional
				.of(new HeldLease(asked.holder(), held.get().fencingNumber(), expiryMillis, requestedAtMillis));
		}
	}

	private void decide(OrderRecord.Decision decision) {
		EngineOrder order = decision.order();
		boolean full = this.decisions.size() >= DECISIONS_LIMIT;
		if (full || this.logMillis > decision.voidAfterMillis() || this.decisions.containsKey(order.decisionId())) {
			return;
		}
		this.decisions.values().removeIf((earlier) -> earlier.isWaiting() && earlier.order().isSupersededBy(order));
		this.decisions.put(order.decisionId(), OrderProgress.of(decision));
	}

	private void issue(long offset, OrderRecord.Issue issue) {
		OrderProgress progress = this.decisions.get(issue.decisionId());
		boolean leaseHeld = this.lease
			.filter((held) -> held.fencingNumber() == issue.fencingNumber() && this.logMillis < held.expiryMillis())
			.isPresent();
		if (progress == null || !leaseHeld || !mayIssue(progress, issue.pool(), this.logMillis)) {
			return;
		}
		OrderProgress.Issued issued = new OrderProgress.Issued(offset, issue.fencingNumber(), issue.pool(),
				this.logMillis);
		this.decisions.put(issue.decisionId(), progress.issued(issued));
		if (progress.order().kind().readsWeights()) {
			this.weightReadsMillis.add(this.logMillis);
		}
	}

	/**
	 * Returns whether the rules of the fleet allow a decision to be issued.
	 * @param progress the decision
	 * @param pool the pool of its engine
	 * @param atMillis the time
	 * @return whether the engine is free, the rate of weight reads is kept and no other
	 * engine of the pool is out of service
	 */
	boolean mayIssue(OrderProgress progress, String pool, long atMillis) {
		EngineOrder order = progress.order();
		boolean blocked = this.decisions.values()
			.stream()
			.filter((other) -> other.isOutstanding(atMillis, this.settings.outstandingMillis()))
			.anyMatch((other) -> other.order().target().equals(order.target()) || interruptBoth(other, order, pool));
		long recentReads = this.weightReadsMillis.stream()
			.filter((readMillis) -> atMillis < readMillis + this.settings.weightIntervalMillis())
			.count();
		boolean rateKept = !order.kind().readsWeights() || recentReads < this.settings.weightReads();
		return progress.isWaiting() && atMillis <= progress.voidAfterMillis() && !blocked && rateKept;
	}

	private static boolean interruptBoth(OrderProgress other, EngineOrder order, String pool) {
		boolean samePool = other.issue().filter((issued) -> issued.pool().equals(pool)).isPresent();
		return samePool && other.order().kind().interruptsService() && order.kind().interruptsService();
	}

	private void end(OrderRecord.End end) {
		OrderProgress progress = this.decisions.get(end.decisionId());
		boolean current = progress != null && progress.result().isEmpty()
				&& progress.issue().filter((issued) -> issued.fencingNumber() == end.fencingNumber()).isPresent();
		if (current) {
			this.decisions.put(end.decisionId(), progress.ended(end.result()));
		}
	}

	private void dropOld() {
		this.weightReadsMillis
			.removeIf((readMillis) -> this.logMillis >= readMillis + this.settings.weightIntervalMillis());
		this.decisions.values()
			.removeIf((progress) -> this.logMillis > progress.voidAfterMillis()
					&& !progress.isOutstanding(this.logMillis, this.settings.outstandingMillis()));
	}

	/**
	 * Returns the lease as it stands in the log, ended or not.
	 * @return the lease, or empty where there was none
	 */
	Optional<HeldLease> lease() {
		return this.lease;
	}

	/**
	 * Returns the decisions that wait or were issued a short while ago.
	 * @return the decisions, in the order in which they were made
	 */
	List<OrderProgress> decisions() {
		return List.copyOf(this.decisions.values());
	}

	/**
	 * Returns a decision.
	 * @param decisionId the decision
	 * @return the decision, or empty where it is unknown, superseded or too old
	 */
	Optional<OrderProgress> decision(String decisionId) {
		return Optional.ofNullable(this.decisions.get(decisionId));
	}

	/**
	 * Returns what is known of the history.
	 * @return offsets that were read or lost
	 */
	LogCoverage coverage() {
		return this.coverage;
	}

	/**
	 * A lease.
	 *
	 * @param holder the process
	 * @param fencingNumber offset of its first record
	 * @param expiryMillis when it ends by the clock of the log
	 * @param requestedAtMillis when the holder last asked for it, by its own clock
	 */
	record HeldLease(String holder, long fencingNumber, long expiryMillis, long requestedAtMillis) {

	}

}
