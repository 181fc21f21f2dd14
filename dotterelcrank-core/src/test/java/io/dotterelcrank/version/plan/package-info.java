/**
 * Tests.
 */
package io.dotterelcrank.version.plan;
