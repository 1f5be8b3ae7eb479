package org.mustardlane.core.route;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.PoolId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link RouteTable} and {@link Route}.
 */
public class RouteTableTests {

	private static final RequestLimits LIMITS = new RequestLimits(16_384, 1000, 3000, 15_000);

	private static Route route(String name, String prefix, boolean anonymousAllowed) {
		return new Route(name, "one.example", prefix, RequestSemantics.IDEMPOTENT, 1000, 200, 0, 0,
				List.of(new WeightedPool(new PoolId("pool"), 1)), 2, anonymousAllowed);
	}

	private static RouteTable table(boolean keysRequired) {
		Organisation owner = new Organisation(new OrganisationId("holder"), OptionalInt.empty());
		return new RouteTable(7, List.of(route("short", "/a/", false), route("long", "/a/b/", true)), List.of(),
				Map.of("key", owner), keysRequired, LIMITS);
	}

	@DataProvider
	public Object[][] lookups() {
		return new Object[][] { { "one.example", "/a/b/c", "long" }, { "ONE.Example:8080", "/a/bc", "short" },
				{ "one.example", "/a/%62/c", "short" }, { "one.example", "/a", "" }, { "two.example", "/a/b/", "" } };
	}

	@Test(dataProvider = "lookups")
	public void longestPrefixOfTheHostWins(String host, String path, String expected) {
		assertEquals(table(true).find(host, path).map(Route::name).orElse(""), expected);
	}

	@Test
	public void keyIdentifiesOnlyItsOwner() {
		assertEquals(table(true).organisationOf("key").map(Organisation::id),
				Optional.of(new OrganisationId("holder")));
		assertTrue(table(true).organisationOf("Key").isEmpty());
	}

	@Test
	public void anonymousRoutesAndTablesWithoutRequiredKeysNeedNoKey() {
		assertTrue(table(true).requiresKey(route("any", "/", false)));
		assertFalse(table(true).requiresKey(route("any", "/", true)));
		assertFalse(table(false).requiresKey(route("any", "/", false)));
	}

	@Test
	public void poolsArePickedByWeight() {
		Route weightedRoute = new Route("split", "h", "/", RequestSemantics.STREAM, 1, 1, 0, 0,
				List.of(new WeightedPool(new PoolId("nine"), 90), new WeightedPool(new PoolId("one"), 10)), 1, false);
		assertEquals(weightedRoute.pickPool(0.89).value(), "nine");
		assertEquals(weightedRoute.pickPool(0.91).value(), "one");
	}

	@Test
	public void poolOfWeightZeroIsNeverPicked() {
		Route weightedRoute = new Route("split", "h", "/", RequestSemantics.STREAM, 1, 1, 0, 0,
				List.of(new WeightedPool(new PoolId("none"), 0), new WeightedPool(new PoolId("all"), 1)), 1, false);
		assertEquals(weightedRoute.pickPool(0).value(), "all");
	}

}
