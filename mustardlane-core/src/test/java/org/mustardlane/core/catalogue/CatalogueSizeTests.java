package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;

import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

/**
 * Tests of checkpoints at catalogue sizes up to those expected in two years. They guard
 * against a checkpoint that exceeds the size limit of a message, and report the time to
 * apply a change.
 */
public class CatalogueSizeTests {

	private static final int MEASURED_ROUNDS = 100;

	private static final int MAX_MESSAGE_BYTES = 4 << 20;

	private final Random random = new Random(3);

	@DataProvider
	public Object[][] sizes() {
		return new Object[][] { { 10, 10 }, { 600, 100 }, { 6_100, 1_400 } };
	}

	@Test(dataProvider = "sizes")
	public void checkpointFitsIntoOneMessage(int targetCount, int organisationCount) throws CorruptRecordException {
		CatalogueState state = CatalogueState.EMPTY.apply(1, 0,
				new PublishedChange("first", "ann", 0, createDelta(targetCount, organisationCount)));
		assertEquals(state.revision(), 1);
		for (int round = 0; round < CatalogueState.HISTORY_LIMIT; round++) {
			state = applyRandomChange(state);
		}
		long applyMicros = averageMicros(state, this::applyRandomChange);
		long snapshotMicros = averageMicros(state, CatalogueState::snapshot);
		byte[] bytes = RecordCodec.encode(state);
		assertEquals(RecordCodec.decodeState(bytes), state);
		Reporter.log("%d targets, %d organisations: checkpoint of %d bytes; apply %d us, snapshot %d us per change"
			.formatted(targetCount, organisationCount, bytes.length, applyMicros, snapshotMicros), true);
		assertTrue(bytes.length < MAX_MESSAGE_BYTES);
	}

	private CatalogueState applyRandomChange(CatalogueState state) {
		long offset = state.nextOffset();
		CatalogueDelta change = new CatalogueDelta(List.of(new Versioned<>(createOrganisation((int) offset, 7), 0)),
				List.of(), List.of(), List.of());
		return state.apply(offset, 1_000_000L * offset,
				new PublishedChange("c" + this.random.nextLong(), "ann", this.random.nextLong(), change));
	}

	private static <T> long averageMicros(CatalogueState state, Function<CatalogueState, T> operation) {
		long startNanos = System.nanoTime();
		for (int round = 0; round < MEASURED_ROUNDS; round++) {
			assertNotNull(operation.apply(state));
		}
		return (System.nanoTime() - startNanos) / MEASURED_ROUNDS / 1_000;
	}

	private CatalogueDelta createDelta(int targetCount, int organisationCount) {
		List<Versioned<Target>> newTargets = new ArrayList<>();
		for (int number = 0; number < targetCount; number++) {
			newTargets.add(new Versioned<>(new Target(new TargetId("engine-" + number), new PoolId("p" + number % 5),
					TargetKind.ENGINE, new DomainId("domain-" + number % 10),
					"10.0.%d.%d".formatted(number / 250, number % 250), 8_000, 16, true), 0));
		}
		List<Versioned<Organisation>> newOrganisations = new ArrayList<>();
		for (int number = 0; number < organisationCount; number++) {
			newOrganisations.add(new Versioned<>(createOrganisation(100_000 + number, 5), 0));
		}
		CatalogueEntry entry = new CatalogueEntry(new EntryName("e"), new OrganisationId("organisation-100000"),
				ServiceClass.BULK, new PoolId("p0"), true, true, "/p", 10, 100, 10, 125, 0);
		return new CatalogueDelta(newOrganisations, newTargets, List.of(new Versioned<>(entry, 0)), List.of());
	}

	private Organisation createOrganisation(int number, int concurrencyLimit) {
		String digest = "%016x".formatted(this.random.nextLong()) + "%016x".formatted(this.random.nextLong())
				+ "%016x".formatted(this.random.nextLong()) + "%016x".formatted(this.random.nextLong());
		return new Organisation(new OrganisationId("organisation-" + number), digest, concurrencyLimit, 1);
	}

}
