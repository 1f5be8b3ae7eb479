package org.mustardlane.router;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

/**
 * Tests of the dependencies between modules and packages.
 */
public class ArchitectureTests {

	private static final JavaClasses ROUTER_CLASSES = new ClassFileImporter()
		.withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
		.importPackages("org.mustardlane.router");

	@Test
	public void routerDoesNotDependOnToolsAndStandIns() {
		noClasses().should()
			.dependOnClassesThat()
			.resideInAnyPackage("org.mustardlane.cli..", "org.mustardlane.standin..", "org.mustardlane.proof..")
			.check(ROUTER_CLASSES);
	}

	@Test
	public void packagesHaveNoCycles() {
		slices().matching("org.mustardlane.router.(*)..").should().beFreeOfCycles().check(ROUTER_CLASSES);
	}

	@Test
	public void onlyTransportPackagesDependOnNetworkLibraries() {
		noClasses().that()
			.resideInAnyPackage("org.mustardlane.router.answer..", "org.mustardlane.router.exchange..",
					"org.mustardlane.router.settings..", "org.mustardlane.router.worker..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("io.netty..", "io.grpc..", "org.asynchttpclient..")
			.check(ROUTER_CLASSES);
	}

}
