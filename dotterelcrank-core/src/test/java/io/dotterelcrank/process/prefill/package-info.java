/**
 * Tests of {@link io.dotterelcrank.process.prefill}.
 */
package io.dotterelcrank.process.prefill;
