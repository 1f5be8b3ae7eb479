package org.mustardlane.gateway;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

/**
 * Tests the allowed dependencies of the packages of the gateway.
 */
public class ArchitectureTests {

	private static final JavaClasses GATEWAY = new ClassFileImporter()
		.withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
		.importPackages("org.mustardlane.gateway");

	@Test
	public void gatewayDoesNotDependOnAPlatform() {
		noClasses().should().dependOnClassesThat().resideInAnyPackage("org.mustardlane.platform..").check(GATEWAY);
	}

	@Test
	public void gatewayDoesNotDependOnJsonParsers() {
		noClasses().should().dependOnClassesThat().resideInAnyPackage("com.fasterxml..").check(GATEWAY);
	}

	@Test
	public void packagesAreFreeOfCycles() {
		slices().matching("org.mustardlane.gateway.(*)..").should().beFreeOfCycles().check(GATEWAY);
	}

}
