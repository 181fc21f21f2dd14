/**
 * Tests for the serving plan.
 */
package io.dotterelcrank.version.plan;
