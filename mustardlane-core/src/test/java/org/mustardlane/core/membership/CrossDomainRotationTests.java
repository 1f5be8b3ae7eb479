package org.mustardlane.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link CrossDomainRotation}.
 */
public class CrossDomainRotationTests {

	@DataProvider
	public Object[][] domainSizes() {
		return new Object[][] { { 5, 5 }, { 1, 5 }, { 5, 1 }, { 3, 7 }, { 36, 36 } };
	}

	@Test(dataProvider = "domainSizes")
	public void eachRouterOfOtherDomainsReceivesGossipOnceARound(int ownCount, int otherCount) {
		List<VmId> ownDomain = vms("own", ownCount);
		SortedMap<DomainId, List<VmId>> otherDomains = new TreeMap<>();
		otherDomains.put(new DomainId("a"), vms("a", otherCount));
		otherDomains.put(new DomainId("b"), vms("b", otherCount));
		List<VmId> receivers = new ArrayList<>();
		for (long turn = 8; turn < 10; turn++) {
			for (VmId self : ownDomain) {
				receivers.addAll(CrossDomainRotation.receivers(turn, self, ownDomain, otherDomains));
			}
		}
		List<VmId> expected = new ArrayList<>(vms("a", otherCount));
		expected.addAll(vms("b", otherCount));
		assertEquals(receivers.stream().sorted().toList(), expected.stream().sorted().toList());
	}

	private static List<VmId> vms(String prefix, int count) {
		List<VmId> vms = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			vms.add(new VmId(prefix + "-" + number));
		}
		return vms;
	}

}
