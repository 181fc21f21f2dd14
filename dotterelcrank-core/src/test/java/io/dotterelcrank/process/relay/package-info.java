/**
 * Tests.
 */
package io.dotterelcrank.process.relay;
