/**
 * Tests of reading logs afterwards.
 */
package io.dotterelcrank.daemon.logs;
