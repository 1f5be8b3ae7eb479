package org.mustardlane.proof.scenario;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;

/**
 * Runs the scenarios against real processes. {@code bin/test} runs only those tagged
 * {@code @ci}.
 */
@CucumberOptions(features = "classpath:features", glue = "org.mustardlane.proof.scenario", tags = "@ci",
		plugin = "summary")
public class ScenarioTests extends AbstractTestNGCucumberTests {

}
