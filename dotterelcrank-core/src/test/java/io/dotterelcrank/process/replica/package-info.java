/**
 * Tests.
 */
package io.dotterelcrank.process.replica;
