package org.mustardlane.gateway.peer;

import java.util.Optional;
import java.util.OptionalInt;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.router.peer.PeerAddress;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link RouterEndpoint}.
 */
public class RouterEndpointTests {

	private static final PeerAddress GOSSIP = new PeerAddress("10.0.0.1", 8229);

	@Test
	public void textIsReadAsItWasWritten() {
		RouterEndpoint endpoint = new RouterEndpoint(GOSSIP, OptionalInt.of(7341));
		assertEquals(RouterEndpoint.parse(endpoint.toText()), Optional.of(endpoint));
		assertEquals(endpoint.calls(), Optional.of(new PeerAddress("10.0.0.1", 7341)));
	}

	@Test
	public void routerOfAnEarlierVersionTakesNoCallsOver() {
		RouterEndpoint endpoint = new RouterEndpoint(GOSSIP, OptionalInt.empty());
		assertEquals(RouterEndpoint.parse("10.0.0.1:8229"), Optional.of(endpoint));
		assertEquals(endpoint.calls(), Optional.empty());
	}

	@DataProvider
	public Object[][] malformedTexts() {
		return new Object[][] { { "" }, { "," }, { "10.0.0.1:8229," }, { "10.0.0.1:8229,x" }, { "10.0.0.1:8229,0" },
				{ "10.0.0.1:8229,65536" }, { "10.0.0.1,7341" }, { "10.0.0.1:8229,1,2" } };
	}

	@Test(dataProvider = "malformedTexts")
	public void malformedTextIsNoEndpoint(String text) {
		assertEquals(RouterEndpoint.parse(text), Optional.empty());
	}

}
