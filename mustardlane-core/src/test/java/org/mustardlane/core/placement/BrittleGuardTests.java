package org.mustardlane.core.placement;

import java.util.OptionalInt;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link BrittleGuard}.
 */
public class BrittleGuardTests {

	private static final FleetPosition POSITION = new FleetPosition(0, 10);

	private static BrittleGuard guard(int fatalRefusals) {
		BrittleGuard guard = new BrittleGuard();
		guard.update(new Brittleness(OptionalInt.of(fatalRefusals), 1000), POSITION);
		return guard;
	}

	@Test
	public void soundTargetTakesRequestsWhateverItsLoad() {
		BrittleGuard guard = new BrittleGuard();
		guard.recordRefusal(1000);
		assertEquals(guard.waitMillis(100, true, 8, 1000), 0);
	}

	@Test
	public void brittleTargetKeepsSomeSlotsFree() {
		assertEquals(guard(5).waitMillis(5, true, 8, 1000), 0);
		assertTrue(guard(5).waitMillis(6, true, 8, 1000) > 0);
	}

	@Test
	public void brittleTargetWithOneSlotTakesOneRequest() {
		assertEquals(guard(5).waitMillis(0, true, 1, 1000), 0);
		assertTrue(guard(5).waitMillis(1, true, 1, 1000) > 0);
	}

	@Test
	public void routerUsesItsShareOfTheSlotsWhileTheLoadIsNotKnown() {
		assertEquals(guard(5).waitMillis(1, false, 20, 1000), 0);
		assertTrue(guard(5).waitMillis(2, false, 20, 1000) > 0);
	}

	@Test
	public void refusalsOfAllRoutersStayBelowTheNumberThatDoesHarm() {
		BrittleGuard guard = guard(5);
		guard.recordRefusal(1000);
		// Ten routers with one refusal in two seconds each cause five a second.
		assertTrue(guard.waitMillis(0, true, 8, 2999) > 0);
		assertEquals(guard.waitMillis(0, true, 8, 3000), 0);
	}

	@Test
	public void olderReportIsIgnored() {
		BrittleGuard guard = guard(5);
		guard.update(new Brittleness(OptionalInt.empty(), 999), POSITION);
		assertTrue(guard.brittleness().isBrittle());
		guard.update(new Brittleness(OptionalInt.empty(), 1001), POSITION);
		assertTrue(!guard.brittleness().isBrittle());
	}

}
