package org.mustardlane.proof.deployment;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Simulates the placement policies of the gateway under several loads.
 */
public class DeploymentTests {

	/**
	 * The users require that at most 3 in 100 sends reach an engine whose load exceeds
	 * twice the mean load plus three requests.
	 */
	private static final double MOST_OVER_BOUND = 0.03;

	private static final List<Long> SEEDS = List.of(1L, 2L, 3L);

	@DataProvider
	public Object[][] scenes() {
		return Scene.ALL.stream()
			.flatMap((scene) -> SEEDS.stream().map((seed) -> new Object[] { scene, seed }))
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "scenes")
	public void enginesStayBelowTheBoundOfLoad(Scene scene, long seed) {
		ModelResult homes = scene.play(PlacementChoice.HOMES_AND_COPIES, seed);
		assertTrue(homes.overBoundShare() <= MOST_OVER_BOUND, homes.toString());
	}

	@Test(dataProvider = "scenes")
	public void homesServeMoreCallsOnTimeThanTheLeastLoadedEngine(Scene scene, long seed) {
		ModelResult homes = scene.play(PlacementChoice.HOMES_AND_COPIES, seed);
		ModelResult leastLoaded = scene.play(PlacementChoice.LEAST_LOADED, seed);
		assertTrue(homes.onTimeShare() >= leastLoaded.onTimeShare(), homes + " compared with " + leastLoaded);
		assertTrue(homes.worstSecondsShare() >= leastLoaded.worstSecondsShare(),
				homes + " compared with " + leastLoaded);
	}

	@Test(dataProvider = "scenes")
	public void copiesSaveReadingPrefixesAgain(Scene scene, long seed) {
		ModelResult copies = scene.play(PlacementChoice.HOMES_AND_COPIES, seed);
		ModelResult none = scene.play(PlacementChoice.HOMES, seed);
		assertTrue(copies.prefixTokensRead() < none.prefixTokensRead(), copies + " compared with " + none);
	}

	@Test
	public void sameSeedGivesTheSameRun() {
		assertEquals(Scene.CRASH.play(PlacementChoice.HOMES_AND_COPIES, 5),
				Scene.CRASH.play(PlacementChoice.HOMES_AND_COPIES, 5));
	}

}
