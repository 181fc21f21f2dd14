/**
 * Tests of {@link io.dotterelcrank.process.stall}.
 */
package io.dotterelcrank.process.stall;
