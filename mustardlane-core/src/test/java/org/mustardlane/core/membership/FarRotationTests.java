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
 * Tests of {@link FarRotation}.
 */
public class FarRotationTests {

	@DataProvider
	public Object[][] sizes() {
		return new Object[][] { { 5, 5 }, { 1, 5 }, { 5, 1 }, { 3, 7 }, { 36, 36 } };
	}

	@Test(dataProvider = "sizes")
	public void everyoneElsewhereHearsOnceARound(int own, int other) {
		List<VmId> domain = vms("own", own);
		SortedMap<DomainId, List<VmId>> others = new TreeMap<>();
		others.put(new DomainId("a"), vms("a", other));
		others.put(new DomainId("b"), vms("b", other));
		List<VmId> told = new ArrayList<>();
		for (long turn = 8; turn < 10; turn++) {
			for (VmId self : domain) {
				told.addAll(FarRotation.receivers(turn, self, domain, others));
			}
		}
		List<VmId> expected = new ArrayList<>(vms("a", other));
		expected.addAll(vms("b", other));
		assertEquals(told.stream().sorted().toList(), expected.stream().sorted().toList());
	}

	private static List<VmId> vms(String prefix, int count) {
		List<VmId> vms = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			vms.add(new VmId(prefix + "-" + number));
		}
		return vms;
	}

}
