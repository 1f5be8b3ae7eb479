package org.mustardlane.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.model.common.PromptPartId;
import org.mustardlane.core.placement.SharedPrefix;
import org.mustardlane.core.quarantine.CallFeature;
import org.mustardlane.gateway.front.Call;
import org.mustardlane.gateway.wire.CallHead;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of what makes two calls the same for the quarantine.
 */
public class CallFeaturesTests {

	private static final SharedPrefix PREFIX = prefix("part");

	private static SharedPrefix prefix(String part) {
		return new SharedPrefix(part.hashCode(), 10, List.of(new PromptPartId(part)));
	}

	private static CallFeatures features(String requestId, String uri, String key, String body,
			Optional<SharedPrefix> prefix) {
		CallHead head = new CallHead(requestId, "h.example", "/x/", Optional.of(key), OptionalLong.of(1000), prefix,
				Optional.empty());
		return CallFeatures.of(new Call(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, uri), head,
				body.getBytes(StandardCharsets.UTF_8), 0));
	}

	private static CallFeatures original(Optional<SharedPrefix> prefix) {
		return features("r-1", "/x/1?q=1", "key", "body", prefix);
	}

	@Test
	public void callUnderAnotherIdHasTheSameFeatures() {
		assertEquals(features("r-2", "/x/1?q=1", "key", "body", Optional.of(PREFIX)), original(Optional.of(PREFIX)));
	}

	@DataProvider
	public Object[][] otherCalls() {
		return new Object[][] { { "/x/2?q=1", "key", "body" }, { "/x/1?q=2", "key", "body" },
				{ "/x/1?q=1", "other", "body" }, { "/x/1?q=1", "key", "other" }, { "/x/1?q=1", "key", "" } };
	}

	@Test(dataProvider = "otherCalls")
	public void callWithAnotherPathKeyOrBodyHasAnotherContent(String uri, String key, String body) {
		CallFeatures other = features("r-1", uri, key, body, Optional.of(PREFIX));
		assertTrue(Collections.disjoint(other.contents(), original(Optional.of(PREFIX)).contents()));
	}

	@Test
	public void callsThatDifferInTheirPromptsOnlyShareOneContent() {
		List<CallFeature> contents = original(Optional.of(PREFIX)).contents();
		List<CallFeature> others = original(Optional.of(prefix("other"))).contents();
		assertEquals(contents.get(0), others.get(0));
		assertTrue(!contents.get(1).equals(others.get(1)));
	}

	@Test
	public void callWithoutPromptHasItsContentOnly() {
		CallFeatures features = original(Optional.empty());
		assertEquals(features.promptParts(), List.of());
		assertEquals(features.all(), features.contents());
		assertTrue(features.contents().get(0).isContent());
	}

}
