/**
 * Tests for configuration changes, the state machine and the configuration in force.
 */
package io.dotterelcrank.version;
