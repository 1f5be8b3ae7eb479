package org.mustardlane.gateway.exchange;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.testng.annotations.Test;

import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.route.EngineSpec;
import org.mustardlane.core.route.Organisation;
import org.mustardlane.core.route.RequestSemantics;
import org.mustardlane.core.route.Route;
import org.mustardlane.core.route.WeightedPool;

import static org.testng.Assert.assertEquals;

/**
 * Tests which priority a call has at a full engine.
 */
public class RoutedCallTests {

	private static final PoolId POOL = new PoolId("pool");

	private static final Optional<EngineSpec> ENGINE = Optional.of(new EngineSpec(16, 1000, true));

	private static RoutedCall call(Optional<Organisation> organisation, Optional<EngineSpec> engine) {
		Route route = new Route("r", "h", "/", RequestSemantics.STREAM, 1000, 100, 0, 2,
				List.of(new WeightedPool(POOL, 1)), 1, false);
		return new RoutedCall(null, route, POOL, organisation, engine, Optional.empty(),
				new CallFeatures(List.of(), List.of()), 1, false);
	}

	private static Optional<Organisation> organisation(OptionalInt priority) {
		return Optional.of(new Organisation(new OrganisationId("org"), priority));
	}

	@Test
	public void priorityOfTheRouteHoldsForOrganisationsWithoutTheirOwn() {
		assertEquals(call(Optional.empty(), ENGINE).enginePriority(), OptionalInt.of(2));
		assertEquals(call(organisation(OptionalInt.empty()), ENGINE).enginePriority(), OptionalInt.of(2));
	}

	@Test
	public void priorityOfTheOrganisationOverridesThatOfTheRoute() {
		assertEquals(call(organisation(OptionalInt.of(0)), ENGINE).enginePriority(), OptionalInt.of(0));
	}

	@Test
	public void plainServicesKnowNoPriorities() {
		assertEquals(call(organisation(OptionalInt.of(0)), Optional.empty()).enginePriority(), OptionalInt.empty());
	}

}
