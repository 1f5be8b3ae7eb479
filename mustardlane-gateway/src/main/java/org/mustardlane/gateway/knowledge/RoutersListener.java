package org.mustardlane.gateway.knowledge;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Passes the addresses of other routers from the log to a consumer.
 */
public final class RoutersListener implements TopicListener {

	private final BiConsumer<String, String> addressConsumer;

	private final AddressPublisher ownAddress;

	private final DecisionLog log;

	private final RecordApplier recordApplier;

	/**
	 * Creates a listener.
	 * @param addressConsumer accepts the VM name and the address of each router
	 * @param ownAddress keeps the address of this router in the log
	 * @param log log of decisions
	 */
	public RoutersListener(BiConsumer<String, String> addressConsumer, AddressPublisher ownAddress, DecisionLog log) {
		this.addressConsumer = addressConsumer;
		this.ownAddress = ownAddress;
		this.log = log;
		this.recordApplier = new RecordApplier(log);
	}

	@Override
	public void onSnapshot(List<KeyedRecord> records, LogPosition end) {
		onRecords(records);
		this.ownAddress.checkSnapshot(records);
	}

	@Override
	public void onRecords(List<KeyedRecord> records) {
		records.forEach((logRecord) -> this.recordApplier.apply(logRecord, (body) -> {
			this.addressConsumer.accept(logRecord.key(), new String(body, StandardCharsets.UTF_8));
			return Optional.empty();
		}));
	}

	@Override
	public void onRestored(LogPosition before, LogPosition end) {
		this.log.warn(LogEvent.LOG_RESTORED, "topic", Topic.ROUTERS, "before", before, "end", end);
	}

	@Override
	public void onUnavailable(String reason) {
		this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.ROUTERS, "reason", reason);
	}

	@Override
	public void onAvailable() {
		this.log.write(LogEvent.DEPENDENCY_REGAINED, "dependency", "log", "topic", Topic.ROUTERS);
	}

}
