package org.mustardlane.core;

import java.time.Clock;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

/**
 * Tests of the allowed dependencies of the core and of its packages.
 */
public class ArchitectureTests {

	private static final JavaClasses CORE = new ClassFileImporter()
		.withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
		.importPackages("org.mustardlane.core");

	@Test
	public void coreDoesNoInputOrOutput() {
		noClasses().should()
			.dependOnClassesThat()
			.resideInAnyPackage("io.netty..", "io.grpc..", "org.asynchttpclient..", "java.net..", "java.nio.file..",
					"org.apache.logging..", "org.mustardlane.router..", "org.mustardlane.protocol..")
			.check(CORE);
	}

	@Test
	public void coreReadsNoSystemClock() {
		noClasses().should().callMethod(System.class, "currentTimeMillis").check(CORE);
		noClasses().should().callMethod(System.class, "nanoTime").check(CORE);
		noClasses().should().dependOnClassesThat().areAssignableTo(Clock.class).check(CORE);
	}

	@Test
	public void coreStartsNoThread() {
		noClasses().should().dependOnClassesThat().areAssignableTo(Thread.class).check(CORE);
	}

	@Test
	public void packagesHaveNoCycles() {
		slices().matching("org.mustardlane.core.(*)..").should().beFreeOfCycles().check(CORE);
	}

}
