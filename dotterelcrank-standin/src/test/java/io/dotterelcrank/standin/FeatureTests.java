package io.dotterelcrank.standin;

import io.cucumber.junit.platform.engine.Constants;
import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/**
 * Runs all features of this package: the failure tables and the scenarios.
 */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("io.dotterelcrank.standin")
@ConfigurationParameter(key = Constants.GLUE_PROPERTY_NAME, value = "io.dotterelcrank.standin")
@ConfigurationParameter(key = Constants.PLUGIN_PUBLISH_QUIET_PROPERTY_NAME, value = "true")
class FeatureTests {

}
