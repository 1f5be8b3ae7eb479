package org.mustardlane.core.admission;

import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.common.OrganisationId;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link OrganisationShares}.
 */
public class OrganisationSharesTests {

	private static final OrganisationId ORGANISATION = new OrganisationId("org");

	@Test
	public void sharesAddUpToTheLimit() {
		for (int limit : List.of(0, 1, 2, 5, 17, 100)) {
			CatalogueSnapshot targetCatalogue = AdmissionFixture.catalogue(11, 4, 8);
			CatalogueSnapshot catalogue = new CatalogueSnapshot(1, Map.of(),
					Map.of(ORGANISATION, new Organisation(ORGANISATION, "", limit, 1)), targetCatalogue.targets());
			OrganisationShares shares = new OrganisationShares(catalogue);
			int sum = catalogue.shards().keySet().stream().mapToInt((shard) -> shares.limit(shard, ORGANISATION)).sum();
			assertEquals(sum, limit);
		}
	}

}
