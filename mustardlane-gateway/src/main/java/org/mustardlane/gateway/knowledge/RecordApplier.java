package org.mustardlane.gateway.knowledge;

import java.util.Optional;

import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Applies records one at a time, so that a record that cannot be processed affects no
 * other record.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class RecordApplier {

	private final DecisionLog log;

	/**
	 * Creates an applier.
	 * @param log log of decisions
	 */
	public RecordApplier(DecisionLog log) {
		this.log = log;
	}

	/**
	 * Applies a function to a record. Whatever the function throws rejects this record
	 * only, which is logged.
	 * @param <T> type of the result
	 * @param logRecord the record
	 * @param function processes the body of the record
	 * @return the result of the function, or empty if the record has no body or is
	 * rejected
	 */
	public <T> Optional<T> apply(KeyedRecord logRecord, BodyFunction<T> function) {
		if (logRecord.body().isEmpty()) {
			return Optional.empty();
		}
		try {
			return function.apply(logRecord.body().get());
		}
		catch (Exception | StackOverflowError ex) {
			this.log.warn(LogEvent.RECORD_REJECTED, "key", logRecord.key(), "epoch", logRecord.position().epoch(),
					"offset", logRecord.position().offset(), "reason", ex);
			return Optional.empty();
		}
	}

	/**
	 * Processes the body of a record.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	public interface BodyFunction<T> {

		/**
		 * Processes a body.
		 * @param body body of the record
		 * @return the result, empty if there is none
		 * @throws Exception if the record cannot be processed
		 */
		Optional<T> apply(byte[] body) throws Exception;

	}

}
