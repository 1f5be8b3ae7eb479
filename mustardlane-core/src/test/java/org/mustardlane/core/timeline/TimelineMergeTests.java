package org.mustardlane.core.timeline;

import java.util.List;

import org.testng.annotations.Test;

import org.mustardlane.core.model.timeline.TimelineEvent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link TimelineMerge}, {@link TimelineText} and {@link TimelineHtml}.
 */
public class TimelineMergeTests {

	private static TimelineEvent event(long millis, int counter, String vm, String detail) {
		return new TimelineEvent(HybridClock.timestamp(millis, counter), vm, "a", "request-arrived", "r-1", detail);
	}

	private final List<TimelineEvent> merged = TimelineMerge
		.merge(List.of(List.of(event(5, 1, "vm-2", "late"), event(5, 0, "vm-2", "tie")),
				List.of(event(5, 0, "vm-1", "tie"), event(4, 9, "vm-1", "early"), event(4, 9, "vm-1", "early"))));

	@Test
	public void sortsByHybridTimeThenVmAndRemovesDuplicates() {
		assertEquals(this.merged.stream().map((event) -> event.vm() + " " + event.detail()).toList(),
				List.of("vm-1 early", "vm-1 tie", "vm-2 tie", "vm-2 late"));
	}

	@Test
	public void writesOneLinePerEvent() {
		String text = TimelineText.format(TimelineMerge.merge(List.of(this.merged, List.of(event(9, 0, "v", "a\nb")))));
		assertEquals(text.lines().count(), 5);
		assertTrue(text.startsWith("00:00:00.004+0009  vm-1  a  request-arrived  r-1  early\n"), text);
		assertTrue(text.endsWith("  r-1  a b\n"), text);
	}

	@Test
	public void writesEscapedHtmlWithLanePerVm() {
		String html = TimelineHtml.render(
				TimelineMerge.merge(List.of(this.merged, List.of(event(9, 0, "vm-3", "<script>alert('x')</script>")))));
		assertEquals(html.split("<th>").length - 1, 4);
		assertEquals(html.split("<tr class=\"row\">").length - 1, 5);
		assertTrue(html.contains("&lt;script&gt;alert(&#39;x&#39;)"));
		assertFalse(html.contains("<script>alert") || html.contains("http"));
	}

}
