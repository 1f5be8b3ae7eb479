package org.mustardlane.gateway.knowledge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.Test;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogRateLimiter;
import org.mustardlane.gateway.standin.FakeRecordLog;

import static org.testng.Assert.assertEquals;

/**
 * Tests of the records in which routers publish their addresses.
 */
public class RoutersListenerTests {

	private static KeyedRecord address(String vm, long offset) {
		return new KeyedRecord(vm, new LogPosition(0, offset),
				Optional.of((vm + ":1").getBytes(StandardCharsets.UTF_8)));
	}

	// Guards against one record that keeps the others from being applied (review/1).
	@Test
	public void recordThatCannotBeAppliedAffectsNoOtherRecord() {
		DecisionLog log = new DecisionLog(new LogRateLimiter(100, () -> 0), () -> 0);
		List<String> added = new ArrayList<>();
		RoutersListener listener = new RoutersListener((vm, address) -> {
			if (vm.equals("odd")) {
				throw new IllegalArgumentException("odd address");
			}
			added.add(address);
		}, new AddressPublisher(new FakeRecordLog(), new VmId("own"), null, log), log);
		listener.onSnapshot(List.of(address("vm-1", 0), address("odd", 1), address("vm-2", 2)), new LogPosition(0, 3));
		assertEquals(added, List.of("vm-1:1", "vm-2:1"));
	}

}
