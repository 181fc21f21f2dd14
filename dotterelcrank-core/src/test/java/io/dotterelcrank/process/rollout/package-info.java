/**
 * Tests of staged roll-outs.
 */
package io.dotterelcrank.process.rollout;
