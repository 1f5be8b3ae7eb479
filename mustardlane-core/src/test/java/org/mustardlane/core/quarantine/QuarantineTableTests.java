package org.mustardlane.core.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of the quarantines in force.
 */
public class QuarantineTableTests {

	private static final CallFeature FIRST = new CallFeature("a");

	private static final CallFeature SECOND = new CallFeature("b");

	private final QuarantineTable table = new QuarantineTable();

	@Test
	public void onlyPromptsWithAllPartsMatchUntilTheEnd() {
		Quarantine quarantine = new Quarantine(Set.of(FIRST, SECOND), 1000);
		assertTrue(this.table.add(quarantine, 0));
		assertFalse(this.table.add(quarantine, 0));
		assertEquals(this.table.find(List.of(FIRST), 999), Optional.empty());
		assertEquals(this.table.find(List.of(SECOND, new CallFeature("c"), FIRST), 999), Optional.of(quarantine));
		assertEquals(this.table.find(List.of(FIRST, SECOND), 1000), Optional.empty());
		assertEquals(this.table.active(1000), List.of());
	}

	@Test
	public void numberOfQuarantinesIsLimitedAndThoseThatEndLastStay() {
		QuarantineTable limited = new QuarantineTable();
		for (int end = 1; end <= 500; end++) {
			limited.add(new Quarantine(Set.of(new CallFeature("p" + end)), 1000 + end), 0);
		}
		assertEquals(limited.active(0).size(), 64);
		assertTrue(limited.find(List.of(new CallFeature("p500")), 0).isPresent());
		assertTrue(limited.find(List.of(new CallFeature("p1")), 0).isEmpty());
	}

	@Test
	public void endedQuarantineIsNotAdded() {
		assertFalse(new QuarantineTable().add(new Quarantine(Set.of(FIRST), 1000), 1000));
	}

}
