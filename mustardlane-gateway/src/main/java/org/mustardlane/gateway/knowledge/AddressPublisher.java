package org.mustardlane.gateway.knowledge;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

import org.mustardlane.core.model.common.VmId;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Keeps the address of this router in the platform's log.
 *
 * <p>
 * A single write is enough until a snapshot shows that the log has lost it. Confined to
 * the event loop of the daemon.
 */
public final class AddressPublisher {

	private static final int RETRY_MILLIS = 1000;

	/**
	 * All routers notice a loss at the same time.
	 */
	private static final int MAX_REPEAT_DELAY_MILLIS = 2000;

	private final RecordLog recordLog;

	private final VmId ownVm;

	private final EventLoop loop;

	private final DecisionLog log;

	private Optional<String> storedAddress = Optional.empty();

	/**
	 * Creates a publisher that has published nothing yet.
	 * @param recordLog client of the log
	 * @param ownVm the VM of this router
	 * @param loop event loop of the daemon
	 * @param log log of decisions
	 */
	public AddressPublisher(RecordLog recordLog, VmId ownVm, EventLoop loop, DecisionLog log) {
		this.recordLog = recordLog;
		this.ownVm = ownVm;
		this.loop = loop;
		this.log = log;
	}

	/**
	 * Stores the address and retries until the log has accepted it.
	 * @param address host and port, separated by a colon
	 */
	public void publish(String address) {
		this.storedAddress = Optional.empty();
		this.recordLog.append(Topic.ROUTERS, this.ownVm.value(), address.getBytes(StandardCharsets.UTF_8))
			.whenComplete((ignored, failure) -> this.loop.execute(() -> handleResult(address, failure)));
	}

	private void handleResult(String address, Throwable failure) {
		if (failure == null) {
			this.storedAddress = Optional.of(address);
			return;
		}
		this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.ROUTERS, "reason",
				failure.getMessage());
		publishLater(address, RETRY_MILLIS);
	}

	private void publishLater(String address, int delayMillis) {
		this.loop.schedule(() -> publish(address), delayMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stores the address again if the log has lost it, or states an earlier one of this
	 * VM.
	 * @param snapshot newest record of each router
	 */
	void checkSnapshot(List<KeyedRecord> snapshot) {
		Optional<String> listedAddress = snapshot.stream()
			.filter((logRecord) -> logRecord.key().equals(this.ownVm.value()))
			.flatMap((logRecord) -> logRecord.body().stream())
			.map((body) -> new String(body, StandardCharsets.UTF_8))
			.findFirst();
		if (this.storedAddress.isEmpty() || this.storedAddress.equals(listedAddress)) {
			return;
		}
		String address = this.storedAddress.get();
		this.storedAddress = Optional.empty();
		publishLater(address, ThreadLocalRandom.current().nextInt(MAX_REPEAT_DELAY_MILLIS));
	}

}
