/**
 * Tests of this package.
 */
package io.dotterelcrank.daemon.relay;
