package org.mustardlane.proof.deployment;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Simulates the placement policies of the gateway under several loads.
 */
public class SimulationTests {

	/**
	 * The users require that at most 3 in 100 sends reach an engine whose load exceeds
	 * twice the mean load plus three requests.
	 */
	private static final double MAX_OVER_BOUND_SHARE = 0.03;

	private static final List<Long> SEEDS = List.of(1L, 2L, 3L);

	@DataProvider
	public Object[][] scenarios() {
		return SimulationScenario.ALL.stream()
			.flatMap((scenario) -> SEEDS.stream().map((seed) -> new Object[] { scenario, seed }))
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "scenarios")
	public void engineLoadStaysWithinBound(SimulationScenario scenario, long seed) {
		SimulationResult homeResult = scenario.run(PlacementStrategy.HOMES_AND_COPIES, seed);
		assertTrue(homeResult.overBoundShare() <= MAX_OVER_BOUND_SHARE, homeResult.toString());
	}

	@Test(dataProvider = "scenarios")
	public void homePlacementServesAtLeastAsManyCallsOnTimeAsLeastLoaded(SimulationScenario scenario, long seed) {
		SimulationResult homeResult = scenario.run(PlacementStrategy.HOMES_AND_COPIES, seed);
		SimulationResult leastLoadedResult = scenario.run(PlacementStrategy.LEAST_LOADED, seed);
		assertTrue(homeResult.onTimeShare() >= leastLoadedResult.onTimeShare(),
				homeResult + " compared with " + leastLoadedResult);
		assertTrue(homeResult.worstWindowShare() >= leastLoadedResult.worstWindowShare(),
				homeResult + " compared with " + leastLoadedResult);
	}

	@Test(dataProvider = "scenarios")
	public void copyingReducesProcessedPrefixTokens(SimulationScenario scenario, long seed) {
		SimulationResult resultWithCopies = scenario.run(PlacementStrategy.HOMES_AND_COPIES, seed);
		SimulationResult resultWithoutCopies = scenario.run(PlacementStrategy.HOMES, seed);
		assertTrue(resultWithCopies.processedPrefixTokens() < resultWithoutCopies.processedPrefixTokens(),
				resultWithCopies + " compared with " + resultWithoutCopies);
	}

	@Test
	public void sameSeedGivesSameResult() {
		assertEquals(SimulationScenario.ENGINE_CRASHES.run(PlacementStrategy.HOMES_AND_COPIES, 5),
				SimulationScenario.ENGINE_CRASHES.run(PlacementStrategy.HOMES_AND_COPIES, 5));
	}

}
